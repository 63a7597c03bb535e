import { z } from 'zod'
import { ResourceKind, ResourceName } from 'almondrelay'

/** An entry of a file of resources. */
const DeclaredResource = z.strictObject({
  kind: z.enum(ResourceKind),
  name: ResourceName,
  /** Write only over this revision; `almondrelay get` shows it. Without it, over the present one. */
  revision: z.number().int().min(0).optional(),
  spec: z.unknown()
})

type DeclaredResource = z.output<typeof DeclaredResource>

export { DeclaredResource }
