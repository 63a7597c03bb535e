/** Whose answer a target has sent, as far as its head tells. */
const AnswerOrigin = {
  /** The first answer to the request that waits on the connection. */
  awaited: 'awaited',
  /** A further answer to a request that was answered on the connection before. */
  repeated: 'repeated',
  /** It can't be told whose answer it is, nor whether the awaited one follows. */
  unknown: 'unknown',
  /** No request waits for an answer. */
  unrequested: 'unrequested'
} as const

type AnswerOrigin = (typeof AnswerOrigin)[keyof typeof AnswerOrigin]

export { AnswerOrigin }
