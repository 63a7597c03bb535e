import type { ShareInput } from '../../request/shareInput.js'

/** A request, as far as the decision about its share depends on it. */
export interface ShareRequest extends ShareInput {
  service: string
  /** Hash of what all attempts of a caller have in common. */
  requestHash: number
  /** Monotonic milliseconds at which the request arrived; its draw is that of this moment. */
  arrivedAt: number
  /** Expected milliseconds of work. */
  workMs: number
  /** Milliseconds until the caller stops waiting. */
  remainingMs: number
  /** Milliseconds that a warm target needs; with less left the request is refused although it is within its share. */
  neededMs: number
}
