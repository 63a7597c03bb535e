import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** The link that carries work from one region to another. */
const LinkSpec = z.strictObject({
  from: ResourceName,
  to: ResourceName,
  /** One way, in milliseconds. */
  latencyMs: z.number().min(0).max(10_000),
  /** Requests that may be in flight over it at once. */
  maxInFlight: z.number().int().min(0).max(10_000_000)
})

type LinkSpec = z.infer<typeof LinkSpec>

export { LinkSpec }
