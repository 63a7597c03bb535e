import { z } from 'zod'

/** A request that was running when targets exited, as known to one host. */
const QuarantinedRequest = z.object({
  fingerprint: z.string(),
  /** Organisation that sent the request; empty where callers don't identify themselves. */
  organisation: z.string(),
  /** Number of target exits while the request was running, not counting those before its last complete answer. */
  ends: z.number(),
  isQuarantined: z.boolean(),
  /** Number of times that the request was forwarded as a trial while quarantined. */
  trials: z.number(),
  nextTrialMs: z.number().optional()
})

type QuarantinedRequest = z.output<typeof QuarantinedRequest>

export { QuarantinedRequest }
