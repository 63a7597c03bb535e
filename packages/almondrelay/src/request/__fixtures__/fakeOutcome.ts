/** Result of a request as seen by its caller. */
export type FakeOutcome =
  | { kind: 'answered' }
  | { kind: 'refused', retryAfterMs: number | undefined }
  /** No answer was received by the deadline. */
  | { kind: 'late' }
