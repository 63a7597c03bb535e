/** Why the bytes of a target are no sound answer; a label of the metrics. */
const UnsoundReason = {
  syntax: 'syntax',
  header: 'header',
  chunk: 'chunk',
  /** A transfer encoding other than chunked, or chunked beside another one or a length. */
  encoding: 'encoding',
  /** More interim answers than any target has to send. */
  interim: 'interim',
  /** A length that is no whole number, several different ones, or one beside a transfer encoding. */
  length: 'length',
  tooLong: 'too-long',
  /** Bytes on a connection without a request. */
  unrequested: 'unrequested',
  /** It can't be told whose answer it is. */
  unknownRequest: 'unknown-request',
  /** It was cut in its head or trailers, and another answer continues it. */
  continued: 'continued',
  /** The awaited answer can't be told from a further answer to an earlier request. */
  repeated: 'repeated',
  /** All answers together fill the memory of this host. */
  noRoom: 'no-room'
} as const

type UnsoundReason = (typeof UnsoundReason)[keyof typeof UnsoundReason]

export { UnsoundReason }
