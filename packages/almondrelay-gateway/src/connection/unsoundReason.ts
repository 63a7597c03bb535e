/** Why the bytes of a target are no sound answer; a label of the metrics. */
const UnsoundReason = {
  syntax: 'syntax',
  header: 'header',
  /** A length that is no whole number, several different ones, or one beside a transfer encoding. */
  length: 'length',
  tooLong: 'too-long',
  /** All answers together fill the memory of this host. */
  noRoom: 'no-room'
} as const

type UnsoundReason = (typeof UnsoundReason)[keyof typeof UnsoundReason]

export { UnsoundReason }
