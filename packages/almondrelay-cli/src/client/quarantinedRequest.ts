import { z } from 'zod'

/** A request under which targets ended, as a host knows it. */
const QuarantinedRequest = z.object({
  fingerprint: z.string(),
  /** Empty where callers don't identify themselves. */
  organisation: z.string(),
  /** Targets that ended under it without a whole answer since. */
  ends: z.number(),
  isQuarantined: z.boolean(),
  /** Times that it was sent on while it was quarantined. */
  trials: z.number(),
  nextTrialMs: z.number().optional()
})

type QuarantinedRequest = z.output<typeof QuarantinedRequest>

export { QuarantinedRequest }
