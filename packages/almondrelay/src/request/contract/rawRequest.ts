import type { AnswerHeader } from '../answerHeader.js'

/** A caller's request as received, before it is checked. */
export interface RawRequest {
  method: string
  service: string
  path: string
  headers: AnswerHeader[]
  body: Uint8Array
}
