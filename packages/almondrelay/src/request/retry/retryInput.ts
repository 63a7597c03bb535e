import type { AttemptOutcome } from './attemptOutcome.js'

/** What a retry is decided on. */
export interface RetryInput {
  idempotent: boolean
  /** A byte of the request may have left for the target or peer. */
  bytesMayHaveLeft: boolean
  outcome: AttemptOutcome
  /** Attempts made so far. */
  attempts: number
  /** Monotonic milliseconds. */
  deadlineAt: number
  /** Expected cost of one more attempt, in milliseconds. */
  costMs: number
}
