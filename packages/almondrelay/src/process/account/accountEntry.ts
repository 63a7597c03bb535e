import type { Outcome } from '../../request/outcome.js'
import type { RefusalReason } from '../../request/refusalReason.js'

/** One finished request, as input of the account. */
export interface AccountEntry {
  /** Wall time at which the request finished, in milliseconds; only selects the minute in which the request is counted. */
  at: number
  caller: string
  service: string
  /** Absent when the request was sent to no target. */
  target?: string
  /** Region in which the request ran or, when it did not run, in which it was refused. */
  region: string
  availabilityZone: string
  /** Region nearest to the caller. */
  callerRegion: string
  outcome: Outcome
  reason?: RefusalReason
  /** Time from the first byte of the request at this host to the last byte of its answer, in milliseconds. */
  durationMs: number
}
