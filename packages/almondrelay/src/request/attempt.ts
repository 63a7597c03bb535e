import type { AnswerHeader } from './answerHeader.js'

/** One attempt to run a request on a target. */
export interface Attempt {
  /** Unique over all hosts; requests are fenced by this id. */
  attemptId: string
  requestId: string
  service: string
  caller: string
  /** Method and first path segment, by which costs are measured. */
  route: string
  method: string
  path: string
  headers: AnswerHeader[]
  body: Uint8Array
  idempotent: boolean
  /** Monotonic time, in milliseconds, of the host that holds this object. */
  deadlineAt: number
}
