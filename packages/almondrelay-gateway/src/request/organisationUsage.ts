import type { AllowanceUsage } from './allowanceUsage.js'
import { SlidingWindowCounter } from './slidingWindowCounter.js'
import type { UsageTotals } from './usageTotals.js'

/** Milliseconds over which the current request rate is counted: twice the interval between two reports of a host. */
const RATE_WINDOW_MS = 500
/** Time ahead, in milliseconds, for which the requests that will leave the window are counted. */
const LEAVING_HORIZON_MS = 1_000
/** Standard deviations by which the current rate must differ from the mean of the window to count as changed. */
const SIGNIFICANT_DEVIATIONS = 2
/** Factor by which a rising rate is raised. */
const RISING_RATE_FACTOR = 1.5

/**
 * Counts one organisation's requests at this host and, as far as they report to this host, at the other hosts of its availability
 * zone.
 */
export class OrganisationUsage {
  private asked = 0
  private letThrough = 0
  private readonly ownAdmitted: SlidingWindowCounter
  private readonly zoneAdmitted: SlidingWindowCounter
  private readonly zoneRequests: SlidingWindowCounter

  /** @param windowMs window of the organisation's allowance, in milliseconds */
  constructor (private readonly windowMs: number) {
    this.ownAdmitted = new SlidingWindowCounter(windowMs)
    this.zoneAdmitted = new SlidingWindowCounter(windowMs)
    this.zoneRequests = new SlidingWindowCounter(windowMs)
  }

  /** Totals since this host's start. */
  get totals (): UsageTotals {
    return { asked: this.asked, letThrough: this.letThrough }
  }

  observeRequest (now: number): void {
    this.asked += 1
    this.zoneRequests.add(now)
  }

  observeAdmission (now: number): void {
    this.letThrough += 1
    this.ownAdmitted.add(now)
    this.zoneAdmitted.add(now)
  }

  /** Takes back an admitted request that wasn't run and won't be. */
  releaseAdmission (admittedAt: number, now: number): void {
    this.letThrough -= 1
    this.ownAdmitted.remove(admittedAt, now)
    this.zoneAdmitted.remove(admittedAt, now)
  }

  /** Adds what a peer of the zone has counted since its last report. */
  receivePeerIncrease (increase: UsageTotals, now: number): void {
    this.zoneRequests.add(now, increase.asked)
    this.zoneAdmitted.add(now, increase.letThrough)
  }

  /** Counts the requests that this host admitted in the last `spanMs` milliseconds. */
  countOwnAdmitted (now: number, spanMs: number): number {
    return this.ownAdmitted.estimate(now, spanMs)
  }

  /** Estimates the usage at this host and at the peers of its zone that report to it. */
  estimateZoneUsage (now: number): AllowanceUsage {
    const letThrough = Math.max(0, this.zoneAdmitted.estimate(now, this.windowMs))
    const leaving = Math.max(0, letThrough - this.zoneAdmitted.estimate(now, this.windowMs - LEAVING_HORIZON_MS))
    return { letThrough, leavingPerSecond: leaving / LEAVING_HORIZON_MS * 1_000, askedPerSecond: this.estimateRequestRate(now) }
  }

  /**
   * Estimates the requests a second: the mean of the window, or the rate of the last half second where that differs by more than
   * chance, as a few requests come unevenly without a change of the rate. A rising rate is assumed to rise further while the
   * report of it is on its way.
   */
  private estimateRequestRate (now: number): number {
    const last = this.zoneRequests.estimate(now, RATE_WINDOW_MS)
    const tolerance = SIGNIFICANT_DEVIATIONS * Math.sqrt(Math.max(1, last))
    const mean = this.zoneRequests.estimate(now, this.windowMs) / this.windowMs * RATE_WINDOW_MS
    const expected = last - tolerance > mean ? last * RISING_RATE_FACTOR : Math.min(last + tolerance, mean)
    return expected / RATE_WINDOW_MS * 1_000
  }
}
