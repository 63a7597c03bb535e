import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** Network link by which one region sends work to another. */
const LinkSpec = z.strictObject({
  from: ResourceName,
  to: ResourceName,
  /** One-way latency, in milliseconds. */
  latencyMs: z.number().min(0).max(10_000),
  /** Maximum number of requests in flight over the link. */
  maxInFlight: z.number().int().min(0).max(10_000_000)
})

type LinkSpec = z.infer<typeof LinkSpec>

export { LinkSpec }
