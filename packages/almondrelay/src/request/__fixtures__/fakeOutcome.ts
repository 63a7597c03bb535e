/** What a caller received. */
export type FakeOutcome =
  | { kind: 'answered' }
  | { kind: 'refused', retryAfterMs: number | undefined }
  /** Nothing by the deadline. */
  | { kind: 'late' }
