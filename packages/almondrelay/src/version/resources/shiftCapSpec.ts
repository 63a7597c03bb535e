import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** Limit on the requests shifted from one region to another. */
const ShiftCapSpec = z.strictObject({
  from: ResourceName,
  to: ResourceName,
  /** The service to which the limit applies; if absent, it applies to all services together. */
  service: ResourceName.optional(),
  /** Maximum number of requests of callers in `from` that may run in `to` at once. */
  maxInFlight: z.number().int().min(0).max(10_000_000)
})

type ShiftCapSpec = z.infer<typeof ShiftCapSpec>

export { ShiftCapSpec }
