/** Why a request on a caller's connection could not be read; a label of the metrics. */
const ReadFailure = {
  late: 'late',
  headTooLong: 'head-too-long',
  bodyTooLong: 'body-too-long',
  malformed: 'malformed',
  /** Bytes after a request that closes its connection; they are no request. */
  afterLast: 'after-last'
} as const

type ReadFailure = (typeof ReadFailure)[keyof typeof ReadFailure]

export { ReadFailure }
