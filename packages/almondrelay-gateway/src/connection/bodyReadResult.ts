import type { HeldBytes } from './heldBytes.js'

/** Result of reading the body of a request. */
export type BodyReadResult =
  | { kind: 'whole', body: Buffer, held: HeldBytes }
  | { kind: 'too-long' }
  /** The bodies of all requests together fill the memory that they may take. */
  | { kind: 'no-room' }
  /** The caller closed the connection before the end of the body. */
  | { kind: 'cut-short' }
