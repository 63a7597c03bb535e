import { z } from 'zod'
import type { Resource } from '../../version/resources/resource.js'
import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import { changeKeys } from './changeKeys.js'
import type { ConfigurationSnapshot } from './configurationSnapshot.js'
import { resourceSchema } from './resourceSchema.js'
import { SnapshotManifest } from './snapshotManifest.js'

const MAX_ATTEMPTS = 3
const Chunk = z.array(resourceSchema)

/**
 * Loads the newest complete snapshot; undefined where there is none yet.
 *
 * A missing chunk means that two newer snapshots were written since the manifest was read, so the manifest is
 * read again.
 */
export async function loadSnapshot (platform: KeyValueStore, signal: AbortSignal): Promise<ConfigurationSnapshot | undefined> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const entry = await platform.get(changeKeys.manifest, signal)
    if (entry === undefined) return undefined
    const manifest = SnapshotManifest.parse(JSON.parse(entry.value))
    const resources = await loadChunks(platform, manifest, signal)
    if (resources !== undefined) return { revision: manifest.revision, resources, writes: manifest.writes }
  }
  throw new AlmondrelayError({
    kind: ErrorKind.resourceInvalid,
    message: 'the snapshot that snapshots/latest names is not whole',
    remedy: 'let nothing but almondrelay delete keys under snapshots/'
  })
}

async function loadChunks (platform: KeyValueStore, manifest: SnapshotManifest, signal: AbortSignal): Promise<Resource[] | undefined> {
  const resources: Resource[] = []
  for (let index = 0; index < manifest.chunks; index++) {
    const entry = await platform.get(changeKeys.makeChunkKey(manifest.revision, index), signal)
    if (entry === undefined) return undefined
    resources.push(...Chunk.parse(JSON.parse(entry.value)) as Resource[])
  }
  return resources
}
