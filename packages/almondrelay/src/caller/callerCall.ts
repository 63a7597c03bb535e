import type { AnswerHeader } from '../request/answerHeader.js'

/** A request that a caller wants to be run. */
export interface CallerCall {
  service: string
  method: string
  /** Path and query as sent to the target, beginning with /. */
  path: string
  headers?: AnswerHeader[]
  body?: Uint8Array
  /** Whether running the request twice has the same effect as once, as declared by the Service resource. */
  idempotent: boolean
  /** Key of the request; this caller's slots are shared fairly among its keys. */
  key?: string
  /** Milliseconds after which an answer is of no use. */
  deadlineMs: number
}
