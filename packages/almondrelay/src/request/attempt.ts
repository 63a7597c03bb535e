import type { AnswerHeader } from './answerHeader.js'

/** One attempt to run a request on a target. */
export interface Attempt {
  /** Unique over all hosts; fencing is by it. */
  attemptId: string
  requestId: string
  service: string
  caller: string
  /** Method and first path part, by which costs are learnt. */
  route: string
  method: string
  path: string
  headers: AnswerHeader[]
  body: Uint8Array
  idempotent: boolean
  /** Monotonic milliseconds of the host that holds this object. */
  deadlineAt: number
}
