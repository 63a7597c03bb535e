/** Result of reading the body of a request. */
export type BodyReadResult =
  | { kind: 'whole', body: Buffer }
  | { kind: 'too-long' }
  /** The caller closed the connection before the end of the body. */
  | { kind: 'cut-short' }
