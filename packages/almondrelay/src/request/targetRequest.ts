import type { AnswerHeader } from './answerHeader.js'

/** One request as it goes to a target. */
export interface TargetRequest {
  method: string
  path: string
  headers: AnswerHeader[]
  body: Uint8Array
  idempotent: boolean
  maxAnswerBytes: number
}
