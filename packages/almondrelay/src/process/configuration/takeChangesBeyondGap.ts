import type { Change } from '../../version/resources/change.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import type { PlatformEntry } from '../platform/platformEntry.js'
import { changeKeys } from './changeKeys.js'
import type { ConfigurationStore } from './configurationStore.js'
import { decodeChange } from './decodeChange.js'
import { repairFromPlatform } from './repairFromPlatform.js'

const CHANGES_PER_PAGE = 32

/**
 * Updates the store to the end of the platform's change log. If revisions are missing there, removes the changes after them from the log,
 * which no host can reach, and returns them in order: they were made by a host that knew the missing ones, after the platform had
 * returned from a copy without these.
 */
export async function takeChangesBeyondGap (platform: KeyValueStore, store: ConfigurationStore, signal: AbortSignal): Promise<Change[]> {
  const taken: Change[] = []
  for (;;) {
    await repairFromPlatform(platform, store, signal)
    const entries = await platform.list(changeKeys.prefix, changeKeys.makeChangeKey(store.current.revision), CHANGES_PER_PAGE, signal)
    const [first] = entries
    if (first === undefined) return taken
    // The missing change has been written in the meantime.
    if (findRevision(first) === store.current.revision + 1) continue
    for (const entry of entries) {
      const { stored } = await platform.delete(entry.key, entry.version, signal)
      if (stored) taken.push(decodeChange(entry.value, findRevision(entry)))
    }
  }
}

const findRevision = ({ key }: PlatformEntry): number => Number(key.slice(changeKeys.prefix.length))
