import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** How the callers of a region are divided over the regions that serve them. */
const SteeringPolicySpec = z.strictObject({
  service: ResourceName,
  /** Region that the callers are nearest to; '*' for every region without a rule. */
  from: z.union([ResourceName, z.literal('*')]),
  /** Weight of each serving region; the shares are the weights over their sum. */
  weights: z.record(z.string(), z.number().min(0).max(1_000_000)).refine((weights) => Object.values(weights).some((weight) => weight > 0), 'give at least one region a weight above 0'),
  /** Whether work that its region can't take may go to another one. */
  spill: z.boolean().default(true)
})

type SteeringPolicySpec = z.infer<typeof SteeringPolicySpec>

export { SteeringPolicySpec }
