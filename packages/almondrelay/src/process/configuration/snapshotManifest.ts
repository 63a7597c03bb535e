import { z } from 'zod'

const SnapshotParts = z.object({
  revision: z.number().int().min(1),
  chunks: z.number().int().min(0).max(9_999)
})

/** Names the newest complete snapshot; written after its last chunk. */
const SnapshotManifest = SnapshotParts.extend({
  writes: z.array(z.object({ writeId: z.string(), revision: z.number().int() })),
  /** The previous snapshot; its chunks are kept for readers that began with it. */
  previous: SnapshotParts.optional()
})

type SnapshotManifest = z.infer<typeof SnapshotManifest>

export { SnapshotManifest }
