/** What a connection does with an answer that is not known to be the awaited one; a label of the metrics. */
const StrayAnswerHandling = {
  /** The answer is ignored, and the request goes on waiting. */
  passedOver: 'passed-over',
  /** The request fails, and the connection is closed. */
  requestFailed: 'request-failed',
  /** No request waits, and the connection is closed. */
  connectionClosed: 'connection-closed'
} as const

type StrayAnswerHandling = (typeof StrayAnswerHandling)[keyof typeof StrayAnswerHandling]

export { StrayAnswerHandling }
