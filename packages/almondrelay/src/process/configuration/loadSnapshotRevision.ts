import type { KeyValueStore } from '../platform/keyValueStore.js'
import { changeKeys } from './changeKeys.js'
import { SnapshotManifest } from './snapshotManifest.js'

/** Loads the revision of the newest complete snapshot; 0 where there is none. */
export async function loadSnapshotRevision (platform: KeyValueStore, signal: AbortSignal): Promise<number> {
  const entry = await platform.get(changeKeys.manifest, signal)
  return entry === undefined ? 0 : SnapshotManifest.parse(JSON.parse(entry.value)).revision
}
