import type { KeyValueStore } from '../platform/keyValueStore.js'
import type { ConfigurationStore } from './configurationStore.js'
import { decodeChange } from './decodeChange.js'
import { listChangePage } from './listChangePage.js'
import { loadSnapshot } from './loadSnapshot.js'

/**
 * Updates the store to the end of the platform's change log. Rejects if the platform doesn't answer or if a change
 * can't be decoded; the store then stays at the revision before that change.
 */
export async function repairFromPlatform (platform: KeyValueStore, store: ConfigurationStore, signal: AbortSignal): Promise<void> {
  if (store.current.revision === 0) await adoptLatestSnapshot(platform, store, signal)
  for (;;) {
    const before = store.current.revision
    const { changes, isLast } = await listChangePage(platform, before, signal)
    for (const { revision, body } of changes) {
      if (revision > store.current.revision) store.adoptChange(decodeChange(body, revision), body)
    }
    if (isLast) return
    if (store.current.revision === before) return
  }
}

async function adoptLatestSnapshot (platform: KeyValueStore, store: ConfigurationStore, signal: AbortSignal): Promise<void> {
  const snapshot = await loadSnapshot(platform, signal)
  if (snapshot !== undefined) store.adoptSnapshot(snapshot)
}
