import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** Distribution of a region's callers over the regions that serve them. */
const SteeringPolicySpec = z.strictObject({
  service: ResourceName,
  /** Region nearest to the callers; '*' for every region without a policy of its own. */
  from: z.union([ResourceName, z.literal('*')]),
  /** Weight of each serving region; its share is the weight divided by the sum of the weights. */
  weights: z.record(z.string(), z.number().min(0).max(1_000_000)).refine((weights) => Object.values(weights).some((weight) => weight > 0), 'give at least one region a weight above 0'),
  /** Whether work that the weighted regions can't take may be sent to other regions. */
  spill: z.boolean().default(true)
})

type SteeringPolicySpec = z.infer<typeof SteeringPolicySpec>

export { SteeringPolicySpec }
