import { SlidingCount } from './slidingCount.js'

/** Part of the operators' bound that is used: hosts may see different fleets, and a window may begin anywhere. */
const USED_PART = 0.7

interface RetryBound {
  /** Repeats allowed for each request of the service. */
  ratio: number
  /** Repeats allowed besides, for all hosts together. */
  extra: number
  /** Milliseconds of the sliding window in which both are counted. */
  windowMs: number
}

/**
 * This host's part of the repeats that all hosts together may send to one service.
 *
 * Answers a failing service: each host that repeats on its own account multiplies the load of what is
 * left. The part for each request needs no agreement; the fixed part is divided by the number of hosts, and
 * a host that doesn't know its fleet takes none of it.
 */
export class RetryAllowance {
  private readonly requests: SlidingCount
  private readonly repeats: SlidingCount

  constructor (private readonly bound: RetryBound) {
    this.requests = new SlidingCount(bound.windowMs)
    this.repeats = new SlidingCount(bound.windowMs)
  }

  observeRequest (now: number): void {
    this.requests.add(now)
  }

  /** @param hosts live hosts; undefined while this host doesn't know them */
  allow (now: number, hosts: number | undefined): boolean {
    const fixedPart = hosts === undefined ? 0 : this.bound.extra / hosts
    const allowed = (this.requests.count(now) * this.bound.ratio + fixedPart) * USED_PART
    return this.repeats.count(now) + 1 <= allowed
  }

  /** Spends one repeat; false where none is left. */
  use (now: number, hosts: number | undefined): boolean {
    if (!this.allow(now, hosts)) return false
    this.repeats.add(now)
    return true
  }
}
