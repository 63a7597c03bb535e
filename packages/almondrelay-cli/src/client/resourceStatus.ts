import { z } from 'zod'

/** Status of a resource as the resource API returns it. */
const ResourceStatus = z.looseObject({
  isInForce: z.boolean().optional(),
  /** For a Drain: requests that still run on the drained target, availability zone or region. */
  workLeft: z.number().optional(),
  /** For a Region, Link or ShiftCap: requests in flight, to be compared with `limit`. */
  carried: z.number().optional(),
  limit: z.number().optional(),
  /** Description of what delays a drain. */
  message: z.string().optional()
})

type ResourceStatus = z.output<typeof ResourceStatus>

export { ResourceStatus }
