import type { KeyValueStore } from '../platform/keyValueStore.js'
import { changeKeys } from './changeKeys.js'
import type { ConfigurationStore } from './configurationStore.js'
import { decodeChange } from './decodeChange.js'
import { loadSnapshot } from './loadSnapshot.js'

/** Changes read in one call; each may be as long as a megabyte. */
const CHANGES_PER_PAGE = 32

/**
 * Updates the store to the end of the platform's change log. Rejects if the platform doesn't answer or if a change
 * can't be decoded; the store then stays at the revision before that change.
 */
export async function repairFromPlatform (platform: KeyValueStore, store: ConfigurationStore, signal: AbortSignal): Promise<void> {
  if (store.current.revision === 0) await adoptLatestSnapshot(platform, store, signal)
  for (;;) {
    const before = store.current.revision
    const entries = await platform.list(changeKeys.prefix, changeKeys.makeChangeKey(before), CHANGES_PER_PAGE, signal)
    for (const entry of entries) {
      const revision = Number(entry.key.slice(changeKeys.prefix.length))
      if (revision > store.current.revision) store.adoptChange(decodeChange(entry.value, revision), entry.value)
    }
    if (entries.length < CHANGES_PER_PAGE) return
    if (store.current.revision === before) return
  }
}

async function adoptLatestSnapshot (platform: KeyValueStore, store: ConfigurationStore, signal: AbortSignal): Promise<void> {
  const snapshot = await loadSnapshot(platform, signal)
  if (snapshot !== undefined) store.adoptSnapshot(snapshot)
}
