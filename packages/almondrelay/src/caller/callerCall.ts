import type { AnswerHeader } from '../request/answerHeader.js'

/** One piece of work that a caller wants done. */
export interface CallerCall {
  service: string
  method: string
  /** Path and query at the target, beginning with /. */
  path: string
  headers?: AnswerHeader[]
  body?: Uint8Array
  /** Whether running it twice is the same as once; as the Service resource says. */
  idempotent: boolean
  /** What fairness counts by within this caller. */
  key?: string
  /** Milliseconds until an answer is of no use. */
  deadlineMs: number
}
