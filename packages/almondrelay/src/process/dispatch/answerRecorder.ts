import type { Answer } from '../../request/answer.js'

interface AnsweredRequest {
  service: string
  caller: string
  id: string
}

/** Records every final answer in the account, the metrics and the log. */
export abstract class AnswerRecorder {
  /** Returns the start time of a request, in monotonic milliseconds, to be passed to `finish`. */
  abstract begin (): number
  abstract finish (startedAt: number, request: AnsweredRequest, answer: Answer): void
}
