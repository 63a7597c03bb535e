/** Refusal of a request because its service is overloaded. */
export interface ShareRefusal {
  retryAfterMs: number
  /** Milliseconds of work a second: the organisation's share, and what it asks for. Undefined if the organisation has no share of its own. */
  shareMs: number | undefined
  askedMs: number | undefined
  /** Part of the requests of the organisation's route that is admitted. */
  allowedPart: number
  /** Milliseconds since the oldest of the counts that the share was computed from. */
  snapshotAgeMs: number
}
