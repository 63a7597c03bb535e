import { z } from 'zod'
import { ResourceKind } from '../../version/resources/resourceKind.js'
import { ResourceName } from '../../version/resources/resourceName.js'
import { resourceSpecs } from '../../version/resources/resourceSpecs.js'

const Revision = z.number().int().min(1).max(Number.MAX_SAFE_INTEGER)

const makeSchema = <Kind extends ResourceKind>(kind: Kind) => z.object({
  kind: z.literal(kind),
  name: ResourceName,
  spec: resourceSpecs[kind],
  revision: Revision
})

/** Schema of a resource in changes and snapshots. */
export const resourceSchema = z.discriminatedUnion('kind', [
  makeSchema(ResourceKind.service),
  makeSchema(ResourceKind.region),
  makeSchema(ResourceKind.link),
  makeSchema(ResourceKind.steeringPolicy),
  makeSchema(ResourceKind.drain),
  makeSchema(ResourceKind.shiftCap)
])
