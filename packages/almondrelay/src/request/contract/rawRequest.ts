import type { AnswerHeader } from '../answerHeader.js'

/** A caller's request as it came in, before its checks. */
export interface RawRequest {
  method: string
  service: string
  path: string
  headers: AnswerHeader[]
  body: Uint8Array
}
