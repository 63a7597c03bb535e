import type { Change } from '../../version/resources/change.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import type { ConfigurationStore } from './configurationStore.js'
import { decodeChange } from './decodeChange.js'
import { listChangePage } from './listChangePage.js'
import { repairFromPlatform } from './repairFromPlatform.js'

/**
 * Updates the store to the end of the platform's change log. If revisions are missing there, removes the changes after them from the log,
 * which no host can reach, and returns them in order: they were made by a host that knew the missing ones, after the platform had
 * returned from a copy without these.
 */
export async function takeChangesBeyondGap (platform: KeyValueStore, store: ConfigurationStore, signal: AbortSignal): Promise<Change[]> {
  const taken: Change[] = []
  for (;;) {
    await repairFromPlatform(platform, store, signal)
    const { changes } = await listChangePage(platform, store.current.revision, signal)
    const [first] = changes
    if (first === undefined) return taken
    // The missing change has been written in the meantime.
    if (first.revision === store.current.revision + 1) continue
    for (const { revision, key, body, version } of changes) {
      const { stored } = await platform.delete(key, version, signal)
      if (stored) taken.push(decodeChange(body, revision))
    }
  }
}
