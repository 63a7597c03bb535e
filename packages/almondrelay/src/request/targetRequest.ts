import type { AnswerHeader } from './answerHeader.js'

/** A request as it is sent to a target. */
export interface TargetRequest {
  method: string
  path: string
  headers: AnswerHeader[]
  body: Uint8Array
  idempotent: boolean
  maxAnswerBytes: number
}
