import type { KnownUse } from './knownUse.js'
import { SlidingCount } from './slidingCount.js'
import type { UseTotals } from './useTotals.js'

/** Milliseconds over which the current request rate is counted: twice the interval between two reports of a host. */
const RATE_MS = 500
/** Time ahead, in milliseconds, for which the requests that will leave the window are counted. */
const LEAVING_MS = 1_000
/** Standard deviations by which the current rate must differ from the mean of the window to count as changed. */
const DOUBT = 2
/** Factor by which a rising rate is raised. */
const RISING = 1.5

/**
 * Counts one organisation's requests at this host and, as far as they report to this host, at the other hosts of its availability
 * zone.
 */
export class OrganisationUse {
  private asked = 0
  private letThrough = 0
  private readonly ownLetThrough: SlidingCount
  private readonly zoneLetThrough: SlidingCount
  private readonly zoneAsked: SlidingCount

  /** @param windowMs window of the organisation's allowance, in milliseconds */
  constructor (private readonly windowMs: number) {
    this.ownLetThrough = new SlidingCount(windowMs)
    this.zoneLetThrough = new SlidingCount(windowMs)
    this.zoneAsked = new SlidingCount(windowMs)
  }

  /** Totals since this host's start. */
  get totals (): UseTotals {
    return { asked: this.asked, letThrough: this.letThrough }
  }

  observeAsked (now: number): void {
    this.asked += 1
    this.zoneAsked.add(now)
  }

  observeLetThrough (now: number): void {
    this.letThrough += 1
    this.ownLetThrough.add(now)
    this.zoneLetThrough.add(now)
  }

  /** Takes back an admitted request that wasn't run and won't be. */
  releaseUse (letThroughAt: number, now: number): void {
    this.letThrough -= 1
    this.ownLetThrough.remove(letThroughAt, now)
    this.zoneLetThrough.remove(letThroughAt, now)
  }

  /** Adds what a peer of the zone has counted since its last report. */
  hearPeer (increase: UseTotals, now: number): void {
    this.zoneAsked.add(now, increase.asked)
    this.zoneLetThrough.add(now, increase.letThrough)
  }

  /** Counts the requests that this host admitted in the last `spanMs` milliseconds. */
  countOwn (now: number, spanMs: number): number {
    return this.ownLetThrough.estimate(now, spanMs)
  }

  /** Estimates the usage at this host and at the peers of its zone that report to it. */
  describeZone (now: number): KnownUse {
    const letThrough = Math.max(0, this.zoneLetThrough.estimate(now, this.windowMs))
    const leaving = Math.max(0, letThrough - this.zoneLetThrough.estimate(now, this.windowMs - LEAVING_MS))
    return { letThrough, leavingPerSecond: leaving / LEAVING_MS * 1_000, askedPerSecond: this.estimateAsked(now) }
  }

  /**
   * Estimates the requests a second: the mean of the window, or the rate of the last half second where that differs by more than
   * chance, as a few requests come unevenly without a change of the rate. A rising rate is assumed to rise further while the
   * report of it is on its way.
   */
  private estimateAsked (now: number): number {
    const last = this.zoneAsked.estimate(now, RATE_MS)
    const chance = DOUBT * Math.sqrt(Math.max(1, last))
    const mean = this.zoneAsked.estimate(now, this.windowMs) / this.windowMs * RATE_MS
    const expected = last - chance > mean ? last * RISING : Math.min(last + chance, mean)
    return expected / RATE_MS * 1_000
  }
}
