import type { KeyValueStore } from '../platform/keyValueStore.js'
import { changeKeys } from './changeKeys.js'
import type { ConfigurationSnapshot } from './configurationSnapshot.js'
import { MAX_VALUE_BYTES } from './maxValueBytes.js'
import { SnapshotManifest } from './snapshotManifest.js'
import { splitSnapshot } from './splitSnapshot.js'

/**
 * Writes a snapshot in chunks and then its manifest, by compare-and-swap and only to a higher revision.
 *
 * Guards against a host that fails half way: the manifest still names the complete previous snapshot,
 * because it is updated only after the last chunk. Returns the revision that the manifest then names.
 */
export async function saveSnapshot (platform: KeyValueStore, snapshot: ConfigurationSnapshot, signal: AbortSignal): Promise<number> {
  const entry = await platform.get(changeKeys.manifest, signal)
  const previous = entry === undefined ? undefined : SnapshotManifest.parse(JSON.parse(entry.value))
  if (previous !== undefined && previous.revision >= snapshot.revision) return previous.revision
  const chunks = splitSnapshot(snapshot.resources, MAX_VALUE_BYTES)
  for (const [index, chunk] of chunks.entries()) await platform.put(changeKeys.makeChunkKey(snapshot.revision, index), chunk, 0, signal)
  const manifest = buildManifest(snapshot, chunks.length, previous)
  const result = await platform.put(changeKeys.manifest, JSON.stringify(manifest), entry?.version ?? 0, signal)
  if (result.stored && previous?.previous !== undefined) await deleteChunks(platform, previous.previous, signal)
  return result.stored ? snapshot.revision : previous?.revision ?? 0
}

function buildManifest (snapshot: ConfigurationSnapshot, chunks: number, previous: SnapshotManifest | undefined): SnapshotManifest {
  const manifest = { revision: snapshot.revision, chunks, writes: snapshot.writes }
  return previous === undefined ? manifest : { ...manifest, previous: { revision: previous.revision, chunks: previous.chunks } }
}

async function deleteChunks (platform: KeyValueStore, old: { revision: number, chunks: number }, signal: AbortSignal): Promise<void> {
  for (let index = 0; index < old.chunks; index++) {
    const entry = await platform.get(changeKeys.makeChunkKey(old.revision, index), signal)
    if (entry !== undefined) await platform.delete(entry.key, entry.version, signal)
  }
}
