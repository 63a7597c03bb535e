import type { TargetAnswerHead } from '../request/targetAnswerHead.js'
import { AnswerOrigin } from './answerOrigin.js'
import type { SentRequest } from './sentRequest.js'

/**
 * Finds out whose answer has arrived. A target may answer a request a second time, late, with another status, so the answer that names the
 * awaited request is the first one to it only if every answer before it on the connection is known to be another request's.
 *
 * @param awaited the request that waits on the connection
 * @param answered requests that were answered on the connection before
 */
export function findAnswerOrigin ({ requestId, refusesUnread }: TargetAnswerHead, awaited: SentRequest | undefined, answered: readonly SentRequest[]): AnswerOrigin {
  if (awaited === undefined) return AnswerOrigin.unrequested
  // On a connection without an earlier request it can be the answer to no other one.
  if (requestId === undefined) return refusesUnread && answered.length === 0 ? AnswerOrigin.awaited : AnswerOrigin.unknown
  if (requestId === awaited.id) return AnswerOrigin.awaited
  return answered.some(({ id }) => id === requestId) ? AnswerOrigin.repeated : AnswerOrigin.unknown
}
