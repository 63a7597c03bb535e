import { AnswerIdentity } from './answerIdentity.js'

interface AnswerHead {
  /** The id with which the request that awaits an answer was sent. */
  sendId: string
  /** The values of the header by which the answer echoes an id. */
  echoedIds: string[]
  /** Whether no request was sent on the connection before the one that awaits an answer. */
  isFirstOnConnection: boolean
  /** The reason phrase and the values of all headers. */
  texts: string[]
}

const STATUS_LINE = /HTTP\/\d\.\d \d{3}/

/**
 * Decides whose answer has arrived.
 *
 * Failure: a target answers a request a second time, after the next one was sent on the connection, which then
 * gets that answer, as do all later ones. If the second answer is cut within its head, the next one's status line becomes
 * part of its reason phrase or of a header value, and its status would go out with the id and body of the next one.
 */
export function identifyAnswer ({ sendId, echoedIds, isFirstOnConnection, texts }: AnswerHead): AnswerIdentity {
  if (echoedIds.length > 1) return AnswerIdentity.severalIds
  if (echoedIds.length === 1 && echoedIds[0] !== sendId) return AnswerIdentity.otherId
  const holdsStatusLine = texts.some((text) => STATUS_LINE.test(text))
  if (isFirstOnConnection) return echoedIds.length === 1 && !holdsStatusLine ? AnswerIdentity.echoed : AnswerIdentity.onlyRequest
  if (echoedIds.length === 0) return AnswerIdentity.noId
  return holdsStatusLine ? AnswerIdentity.mixedHead : AnswerIdentity.echoed
}
