import { z } from 'zod'
import { ResourceStatus } from './resourceStatus.js'

/** A resource as the resource API returns it. */
const ShownResource = z.looseObject({
  kind: z.string(),
  name: z.string(),
  revision: z.number(),
  spec: z.unknown(),
  status: ResourceStatus.optional()
})

type ShownResource = z.output<typeof ShownResource>

export { ShownResource }
