import type { AnswerHeader } from '../answerHeader.js'
import type { HomeReference } from './homeReference.js'

/** A request that keeps the caller contract, its body whole. */
export interface CallerRequest {
  /** The caller's id, or one made here where the request is idempotent and has none. */
  id: string
  /** Wall time that the id carries; undefined where the id isn't a UUIDv7. */
  idTime: number | undefined
  /** Attempt number that the caller states: 0 for the first, one more after each `not-run`. */
  attempt: number | undefined
  service: string
  caller: string
  /** What fairness counts by within a caller; empty where the caller names none. */
  key: string
  method: string
  /** Path and query as the target sees them. */
  path: string
  headers: AnswerHeader[]
  body: Uint8Array
  idempotent: boolean
  /** Present on every non-idempotent request. */
  home: HomeReference | undefined
  /** Milliseconds that were left when the request came in. */
  deadlineMs: number
}
