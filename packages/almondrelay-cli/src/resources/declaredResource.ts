import { z } from 'zod'
import { ResourceKind, ResourceName } from 'almondrelay'

/** An entry of a file of resources. */
const DeclaredResource = z.strictObject({
  kind: z.enum(ResourceKind),
  name: ResourceName,
  /** Revision to replace, as shown by `almondrelay get`; the current revision if absent. */
  revision: z.number().int().min(0).optional(),
  spec: z.unknown()
})

type DeclaredResource = z.output<typeof DeclaredResource>

export { DeclaredResource }
