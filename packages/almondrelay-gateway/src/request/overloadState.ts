import type { WorkSums } from './workSums.js'

/** Share of the requests that targets have no room for at which overload begins: a single full target turns away fewer. */
const BEGIN_TURNED_AWAY_SHARE = 0.05
/** Requests a second below which one refusal would be a large share, so that no overload begins. */
const MIN_REQUESTS_PER_SECOND = 10
/** Milliseconds for which the begin condition must last; the rates are themselves means over about a second. */
const BEGIN_AFTER_MS = 500
/** Share of the capacity below which demand must stay for overload to end. */
const END_DEMAND_SHARE = 0.9
const END_TURNED_AWAY_SHARE = 0.01
/** Milliseconds for which the end condition must last, so that a pause in a burst doesn't end the overload. */
const END_AFTER_MS = 2_000

/**
 * Decides whether a service in a region is overloaded.
 *
 * Load: demand of 1.3 times the capacity for some seconds, with pauses. Requests are refused by shares only during overload. The
 * condition to end differs from the one to begin, as the shares themselves stop the refusals by which overload is noticed: without the
 * difference the state would change every second.
 */
export class OverloadState {
  private since: number | undefined
  private overloaded = false

  get isOverloaded (): boolean {
    return this.overloaded
  }

  /** Continues an overload that another host has noticed. */
  adopt (): void {
    this.overloaded = true
    this.since = undefined
  }

  /**
   * Returns whether overload begins or ends now.
   *
   * @param capacityMs known capacity, in milliseconds of work a second
   */
  observe (sums: WorkSums, capacityMs: number, now: number): boolean {
    const isDue = this.overloaded ? isCalm(sums, capacityMs) : isOverfull(sums)
    if (!isDue) {
      this.since = undefined
      return false
    }
    this.since ??= now
    if (now - this.since < (this.overloaded ? END_AFTER_MS : BEGIN_AFTER_MS)) return false
    this.overloaded = !this.overloaded
    this.since = undefined
    return true
  }
}

const computeTurnedAwayShare = ({ requestsPerSecond, turnedAwayPerSecond }: WorkSums): number => turnedAwayPerSecond / Math.max(1, requestsPerSecond)

const isOverfull = (sums: WorkSums): boolean => sums.requestsPerSecond >= MIN_REQUESTS_PER_SECOND && computeTurnedAwayShare(sums) >= BEGIN_TURNED_AWAY_SHARE

const isCalm = (sums: WorkSums, capacityMs: number): boolean => {
  let askedMs = 0
  for (const work of sums.organisations.values()) askedMs += work.askedMs
  return askedMs <= capacityMs * END_DEMAND_SHARE && computeTurnedAwayShare(sums) <= END_TURNED_AWAY_SHARE
}
