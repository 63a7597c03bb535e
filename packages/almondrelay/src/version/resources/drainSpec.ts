import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** An order to take work away from a target, an availability zone or a region. */
const DrainSpec = z.strictObject({
  scope: z.enum(['target', 'availabilityZone', 'region']),
  /** Name of what is drained. */
  name: ResourceName,
  /** The service of the target; only where scope is target. */
  service: ResourceName.optional()
}).refine((drain) => drain.scope !== 'target' || drain.service !== undefined, { path: ['service'], message: 'name the service whose target is drained' })

type DrainSpec = z.infer<typeof DrainSpec>

export { DrainSpec }
