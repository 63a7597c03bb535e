/** What came of reading a request's body. */
export type BodyReadResult =
  | { kind: 'whole', body: Buffer }
  | { kind: 'too-long' }
  /** The caller left before the end. */
  | { kind: 'cut-short' }
