import { z } from 'zod'

/** Fault switches of the platform stand-in; each PUT replaces them all, and an absent one is off. */
const PlatformFaults = z.strictObject({
  /** `refuse` ends the connection of every call before it takes effect; `hang` never answers one. */
  outage: z.enum(['refuse', 'hang']).optional(),
  /** Delay before a call takes effect. */
  slowMs: z.number().min(0).max(600_000).default(0),
  /** The next so many writes take effect, and their connections end without an answer. */
  loseAnswersAfterWrite: z.number().int().min(0).default(0),
  /** Lag of the host list; as it was where absent. */
  hostListLagMs: z.number().min(0).optional(),
  hostListFrozen: z.boolean().default(false),
  /** Calls a second; more are answered 429. No limit where absent. */
  rateLimit: z.strictObject({ reads: z.number().min(0), writes: z.number().min(0) }).optional()
})

type PlatformFaults = z.infer<typeof PlatformFaults>

export { PlatformFaults }
