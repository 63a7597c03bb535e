import { z } from 'zod'

/** Requests of one minute that are equal in all of these dimensions; an absent value is an empty string. */
const AccountRow = z.strictObject({
  caller: z.string(),
  service: z.string(),
  target: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  callerRegion: z.string(),
  outcome: z.string(),
  reason: z.string(),
  count: z.number().int().min(0),
  /** Sum over the requests, in milliseconds. */
  durationMs: z.number().min(0),
  maxDurationMs: z.number().min(0)
})

type AccountRow = z.infer<typeof AccountRow>

export { AccountRow }
