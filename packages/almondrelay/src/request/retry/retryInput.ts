import type { AttemptOutcome } from './attemptOutcome.js'

/** Input of a retry decision. */
export interface RetryInput {
  idempotent: boolean
  /** Whether a byte of the request may have been sent to the target or peer. */
  bytesMayHaveLeft: boolean
  outcome: AttemptOutcome
  /** Attempts made so far. */
  attempts: number
  /** Monotonic time in milliseconds. */
  deadlineAt: number
  /** Expected cost of one more attempt, in milliseconds. */
  costMs: number
}
