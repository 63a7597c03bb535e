import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** Drain of a target, an availability zone or a region, which then gets no new work. */
const DrainSpec = z.strictObject({
  scope: z.enum(['target', 'availabilityZone', 'region']),
  /** Name of the drained target, availability zone or region. */
  name: ResourceName,
  /** The service of the target; only if the scope is `target`. */
  service: ResourceName.optional()
}).refine((drain) => drain.scope !== 'target' || drain.service !== undefined, { path: ['service'], message: 'name the service whose target is drained' })

type DrainSpec = z.infer<typeof DrainSpec>

export { DrainSpec }
