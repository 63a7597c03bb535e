import type { KeyValueStore } from '../platform/keyValueStore.js'
import { changeKeys } from './changeKeys.js'

/** Changes read in one call; each may be as long as a megabyte. */
const CHANGES_PER_PAGE = 32

/** A change as the platform's log holds it. */
interface StoredChange {
  revision: number
  key: string
  body: string
  /** Version of the key, for its removal. */
  version: number
}

/** Lists the next changes of the platform's log after a revision, in order. */
export async function listChangePage (platform: KeyValueStore, afterRevision: number, signal: AbortSignal): Promise<{ changes: StoredChange[], isLast: boolean }> {
  const entries = await platform.list(changeKeys.prefix, changeKeys.makeChangeKey(afterRevision), CHANGES_PER_PAGE, signal)
  const changes = entries.map(({ key, value, version }) => ({ revision: changeKeys.parseRevision(key), key, body: value, version }))
  return { changes, isLast: entries.length < CHANGES_PER_PAGE }
}
