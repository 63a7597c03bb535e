import type { Random } from '../random.js'

/** Maximum delay; the state from which it is computed is too old after that. */
const MAX_RETRY_AFTER_MS = 10_000
/** Minimum delay: a round trip over a link between regions, 2 x 55 ms. */
const MIN_RETRY_AFTER_MS = 110
/** Delay where the backlog does not drain, because no target of the service can be used. */
const NO_CAPACITY_RETRY_AFTER_MS = 1_000

/**
 * Computes the delay after which refused callers should retry.
 *
 * With one fixed Retry-After, all callers that were refused in a burst retry together and
 * cause the next burst. Here each refusal adds the cost of its expected retry to the waiting
 * work and to the retries expected before it; this sum drains at the rate of the slots. The
 * delay is drawn at random over the time needed for it, so that refused callers retry about
 * as fast as they can be served.
 */
export class RetryAfterSpreader {
  /** Time needed to serve the refused requests that have not been retried yet, in milliseconds. */
  private pendingRetryMs = 0
  private advancedAt = 0

  /** `backlogMs`: milliseconds until the waiting requests are drained. */
  compute (costMs: number, backlogMs: number, capacity: number, now: number, random: Random): number {
    this.pendingRetryMs = Math.max(0, this.pendingRetryMs - Math.max(0, now - this.advancedAt))
    this.advancedAt = now
    if (capacity <= 0) return Math.round(NO_CAPACITY_RETRY_AFTER_MS * (1 + random()))
    this.pendingRetryMs = Math.min(MAX_RETRY_AFTER_MS, this.pendingRetryMs + costMs / capacity)
    const spreadMs = Math.max(this.pendingRetryMs, MIN_RETRY_AFTER_MS)
    const waitMs = Math.max(backlogMs, MIN_RETRY_AFTER_MS) + spreadMs * random()
    return Math.round(Math.min(MAX_RETRY_AFTER_MS * (1 + random()), waitMs))
  }
}
