import { z } from 'zod'

/** What holds of a resource, as the resource API says it. */
const ResourceStatus = z.looseObject({
  isInForce: z.boolean().optional(),
  /** Of a Drain: requests that still run on what is drained. */
  workLeft: z.number().optional(),
  /** Of a Region, Link or ShiftCap: requests in flight, beside its limit. */
  carried: z.number().optional(),
  limit: z.number().optional(),
  /** What holds a drain back, in words. */
  message: z.string().optional()
})

type ResourceStatus = z.output<typeof ResourceStatus>

export { ResourceStatus }
