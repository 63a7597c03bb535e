import type { Random } from '../random.js'

/** Longest time that is asked of a caller; after it the picture is too old to plan by. */
const MAX_RETRY_AFTER_MS = 10_000
/** Shortest: a caller's round trip over a region's link and back, 2 x 55 ms. */
const MIN_RETRY_AFTER_MS = 110
/** Used where nothing drains: no target of the service can be used. */
const IDLE_RETRY_AFTER_MS = 1_000

/**
 * Works out when refused callers are asked to come back.
 *
 * Answers callers that retry: with one fixed Retry-After all that a burst refused come
 * back together and are the next burst. Each refusal books the work that it will bring
 * after what waits and what was booked before it; the booking drains at the rate of the
 * slots. The moment is then drawn at random over the booked time, so that the refused
 * return about as fast as they can be served.
 */
export class RetryAfterSpreader {
  /** Milliseconds that it takes to serve the refused that have not come back yet. */
  private bookedMs = 0
  private advancedAt = 0

  /** `backlogMs`: milliseconds until what waits is drained. */
  compute (costMs: number, backlogMs: number, capacity: number, now: number, random: Random): number {
    this.bookedMs = Math.max(0, this.bookedMs - Math.max(0, now - this.advancedAt))
    this.advancedAt = now
    if (capacity <= 0) return Math.round(IDLE_RETRY_AFTER_MS * (1 + random()))
    this.bookedMs = Math.min(MAX_RETRY_AFTER_MS, this.bookedMs + costMs / capacity)
    const spreadMs = Math.max(this.bookedMs, MIN_RETRY_AFTER_MS)
    const waitMs = Math.max(backlogMs, MIN_RETRY_AFTER_MS) + spreadMs * random()
    return Math.round(Math.min(MAX_RETRY_AFTER_MS * (1 + random()), waitMs))
  }
}
