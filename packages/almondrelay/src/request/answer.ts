import type { AnswerHeader } from './answerHeader.js'
import type { Outcome } from './outcome.js'
import type { RefusalReason } from './refusalReason.js'

/** The final answer to a request, held whole before its first byte goes to the caller. */
export interface Answer {
  outcome: Outcome
  /** HTTP status. */
  status: number
  headers: AnswerHeader[]
  body: Uint8Array
  reason?: RefusalReason
  /** Message for people, which names the remedy. */
  message?: string
  /** Milliseconds after which asking again is worthwhile. */
  retryAfterMs?: number
  /** The target that ran it, where one did. */
  target?: string
}
