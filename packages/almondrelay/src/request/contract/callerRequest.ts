import type { AnswerHeader } from '../answerHeader.js'
import type { HomeReference } from './homeReference.js'

/** A valid request under the caller contract, with its complete body. */
export interface CallerRequest {
  /** The caller's id, or a generated one if the request is idempotent and has none. */
  id: string
  /** Wall-clock time contained in the id; undefined if the request had no id of its own. */
  idTime: number | undefined
  /** Attempt number given by the caller: 0 for the first, one more after each `not-run`. */
  attempt: number | undefined
  service: string
  caller: string
  /** Key of the request; a caller's slots are shared fairly among its keys. Empty if the caller gives none. */
  key: string
  method: string
  /** Path and query as sent to the target. */
  path: string
  headers: AnswerHeader[]
  body: Uint8Array
  idempotent: boolean
  /** Present on every non-idempotent request. */
  home: HomeReference | undefined
  /** Milliseconds that remained when the request arrived. */
  deadlineMs: number
}
