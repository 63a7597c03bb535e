import type { AnswerHeader } from './answerHeader.js'
import type { Outcome } from './outcome.js'
import type { RefusalReason } from './refusalReason.js'

/** The final answer to a request, buffered completely before its first byte is sent to the caller. */
export interface Answer {
  outcome: Outcome
  /** HTTP status. */
  status: number
  headers: AnswerHeader[]
  body: Uint8Array
  reason?: RefusalReason
  /** Human-readable message that names the remedy. */
  message?: string
  /** Delay after which the caller should retry, in milliseconds. */
  retryAfterMs?: number
  /** The target that ran the request, if any did. */
  target?: string
}
