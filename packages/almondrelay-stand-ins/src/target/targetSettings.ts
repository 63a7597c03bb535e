import { z } from 'zod'

/** One target stand-in. */
const TargetSettings = z.strictObject({
  name: z.string(),
  service: z.string(),
  /** Requests that it runs at once; it sheds more. */
  slots: z.number().int().min(1),
  /** Mean service time; single times are lognormal about it. */
  serviceTimeMs: z.number().min(0).default(20),
  /** Spread of the lognormal service time; 0 makes every time the mean. */
  sigma: z.number().min(0).max(3).default(0.5),
  seed: z.number().int().default(1),
  /** IP number and port; port 0 picks a free one. */
  address: z.string().default('127.0.0.1:0'),
  /** How old a health report may be. */
  healthLagMs: z.number().min(0).default(0),
  /** A cold target's first requests take `factor` times as long, falling evenly to 1 over so many requests. */
  coldStart: z.strictObject({
    factor: z.number().min(1),
    requests: z.number().int().min(1),
    /** Cold again after so long without a request; never where absent. */
    idleMs: z.number().min(1).optional()
  }).optional()
})

type TargetSettings = z.infer<typeof TargetSettings>

export { TargetSettings }
