import type { RefusalReason } from 'almondrelay'

/** Refusal of a request before a target is chosen. */
export interface EarlyRefusal {
  /** Milliseconds after which the caller may retry. */
  retryAfterMs: number
  cause: RefusalReason
  /** Explanation for people. */
  reason: string
  /** Name of the organisation; undefined if it is unknown. */
  organisation?: string | undefined
  /** Share of the organisation's requests that is admitted. */
  allowedPart?: number
  /** Service that is overloaded. */
  service?: string
  /** Milliseconds of work a second: the organisation's share of the service, and what it asks for. */
  shareMs?: number | undefined
  askedMs?: number | undefined
  /** Milliseconds since the oldest of the counts that the share was computed from. */
  snapshotAgeMs?: number
}
