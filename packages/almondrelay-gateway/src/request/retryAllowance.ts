import { SlidingWindowCounter } from './slidingWindowCounter.js'

/**
 * Share of the operators' bound that is used: hosts may see different fleets, and the bound holds for windows that begin at any
 * time.
 */
const USED_BOUND_SHARE = 0.7

interface RetryBound {
  /** Retries allowed for each request of the service. */
  ratio: number
  /** Further retries allowed, for all hosts together. */
  extra: number
  /** Length, in milliseconds, of the sliding window in which requests and retries are counted. */
  windowMs: number
}

/**
 * Limits this host to its share of the retries that all hosts together may send to one service.
 *
 * When a service fails, hosts that each retry on their own multiply the load on what is left of it. The retries allowed per
 * request need no agreement between hosts; the further ones are divided by the number of hosts, and a host that doesn't know the
 * fleet uses none of them.
 */
export class RetryAllowance {
  private readonly requests: SlidingWindowCounter
  private readonly retries: SlidingWindowCounter

  constructor (private readonly bound: RetryBound) {
    this.requests = new SlidingWindowCounter(bound.windowMs)
    this.retries = new SlidingWindowCounter(bound.windowMs)
  }

  observeRequest (now: number): void {
    this.requests.add(now)
  }

  /**
   * @param hosts number of live hosts; undefined while it is unknown
   * @param reservedShare share of the retries that is kept for others
   */
  allow (now: number, hosts: number | undefined, reservedShare = 0): boolean {
    const extraShare = hosts === undefined ? 0 : this.bound.extra / hosts
    const allowed = (this.requests.count(now) * this.bound.ratio + extraShare) * USED_BOUND_SHARE
    return this.retries.count(now) + 1 <= allowed * (1 - reservedShare)
  }

  /** Uses one retry; returns false where none is left. */
  use (now: number, hosts: number | undefined, reservedShare = 0): boolean {
    if (!this.allow(now, hosts, reservedShare)) return false
    this.retries.add(now)
    return true
  }
}
