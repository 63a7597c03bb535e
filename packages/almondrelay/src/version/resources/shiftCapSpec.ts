import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** The most that may be shifted from one region to another at once. */
const ShiftCapSpec = z.strictObject({
  from: ResourceName,
  to: ResourceName,
  /** Only this service; every service together where it is absent. */
  service: ResourceName.optional(),
  /** Requests of callers of `from` that may run in `to` at once. */
  maxInFlight: z.number().int().min(0).max(10_000_000)
})

type ShiftCapSpec = z.infer<typeof ShiftCapSpec>

export { ShiftCapSpec }
