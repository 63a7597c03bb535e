import type { Answer } from '../../request/answer.js'

interface AnsweredRequest {
  service: string
  caller: string
  id: string
}

/** Takes note of every final answer, for the account, the metrics and the log. */
export abstract class AnswerRecorder {
  /** Monotonic milliseconds, to be passed to `finish`. */
  abstract begin (): number
  abstract finish (startedAt: number, request: AnsweredRequest, answer: Answer): void
}
