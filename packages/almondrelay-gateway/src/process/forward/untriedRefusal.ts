import type { RefusalReason } from 'almondrelay'

/** Why a request is refused before any target is looked for it. */
export interface UntriedRefusal {
  /** Milliseconds after which the caller may come back. */
  retryAfterMs: number
  cause: RefusalReason
  /** For people. */
  reason: string
  /** Name of the organisation; undefined where none is known. */
  organisation?: string | undefined
  /** Part of the organisation's requests that was let through. */
  allowedPart?: number
}
