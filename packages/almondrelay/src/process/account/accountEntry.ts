import type { Outcome } from '../../request/outcome.js'
import type { RefusalReason } from '../../request/refusalReason.js'

/** One request that has ended, as the account counts it. */
export interface AccountEntry {
  /** Wall time of the end in milliseconds; it only chooses the minute that counts it. */
  at: number
  caller: string
  service: string
  /** Absent where no target got the request. */
  target?: string
  /** Where it ran or, when it didn't, where it was refused. */
  region: string
  availabilityZone: string
  /** Region that the caller is nearest to. */
  callerRegion: string
  outcome: Outcome
  reason?: RefusalReason
  /** From the request's first byte here to the last byte of its answer, in milliseconds. */
  durationMs: number
}
