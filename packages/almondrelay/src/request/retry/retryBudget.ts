/** Retries and hedges allowed for each served request. */
const TOKENS_PER_SERVED_REQUEST = 0.1
/** Maximum number of tokens, earned by 100 served requests, so that an hour of low load doesn't allow a retry storm. */
const MAX_TOKENS = 10
/** Tokens added each second regardless of traffic, so that a service with few requests can retry at all. */
const IDLE_TOKENS_PER_SECOND = 0.2

/**
 * Limits retries and hedges to a share of the served requests.
 *
 * When a region or service fails and each failed request is retried once, the remaining targets
 * get twice the load; with three attempts they get three times the load. A token bucket that is
 * filled by served requests keeps the extra load at a tenth, and near zero once no request is
 * served. There is one for each service and host; times are monotonic milliseconds.
 */
export class RetryBudget {
  private tokens = MAX_TOKENS / 2
  private advancedAt: number | undefined

  /** Records a request that got a complete answer. */
  recordServed (now: number): void {
    this.advance(now)
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_SERVED_REQUEST)
  }

  allow (now: number): boolean {
    this.advance(now)
    return this.tokens >= 1
  }

  /** Takes a token for one extra attempt; returns false if there is none. */
  use (now: number): boolean {
    if (!this.allow(now)) return false
    this.tokens -= 1
    return true
  }

  /** Number of extra attempts that remain. */
  get remaining (): number {
    return Math.floor(this.tokens)
  }

  private advance (now: number): void {
    const elapsedMs = Math.max(0, now - (this.advancedAt ?? now))
    this.advancedAt = now
    this.tokens = Math.min(MAX_TOKENS, this.tokens + elapsedMs / 1_000 * IDLE_TOKENS_PER_SECOND)
  }
}
