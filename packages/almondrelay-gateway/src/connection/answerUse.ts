import type { PassedOverBody } from './passedOverBody.js'

/** How an answer is to be read, as decided at the end of its head. */
export interface AnswerUse {
  /** Its request was one whose answers have no body, as HEAD. */
  isBodiless: boolean
  /** Takes in the body of an answer that is not kept; undefined if the answer is handed on. */
  passedOver: PassedOverBody | undefined
}
