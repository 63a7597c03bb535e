/** Extra attempts for each request served. */
const FRACTION = 0.1
/** Tokens kept at most: what 100 served requests earn, so that a quiet hour doesn't pay for a storm. */
const MAX_TOKENS = 10
/** Tokens a second that are earned without traffic, so that a service with few requests can retry at all. */
const IDLE_TOKENS_PER_SECOND = 0.2

/**
 * Bounds retries and hedges to a fraction of the work that was served.
 *
 * Answers the failure of a region or service: where each failed request is tried again,
 * twice the load falls on what is left, and with three attempts three times. A bucket that
 * only served requests fill keeps the extra load at a tenth, and at nothing once nothing
 * is served. One for each service and host; times are monotonic milliseconds.
 */
export class RetryBudget {
  private tokens = MAX_TOKENS / 2
  private advancedAt: number | undefined

  /** Notes a request that was served whole. */
  addServed (now: number): void {
    this.advance(now)
    this.tokens = Math.min(MAX_TOKENS, this.tokens + FRACTION)
  }

  allow (now: number): boolean {
    this.advance(now)
    return this.tokens >= 1
  }

  /** Spends one extra attempt; false where the budget has none. */
  use (now: number): boolean {
    if (!this.allow(now)) return false
    this.tokens -= 1
    return true
  }

  /** Extra attempts left. */
  get left (): number {
    return Math.floor(this.tokens)
  }

  private advance (now: number): void {
    const elapsedMs = Math.max(0, now - (this.advancedAt ?? now))
    this.advancedAt = now
    this.tokens = Math.min(MAX_TOKENS, this.tokens + elapsedMs / 1_000 * IDLE_TOKENS_PER_SECOND)
  }
}
