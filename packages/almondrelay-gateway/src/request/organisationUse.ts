import type { KnownUse } from './knownUse.js'
import { SlidingCount } from './slidingCount.js'
import type { UseTotals } from './useTotals.js'

/** Milliseconds over which the present rate of requests is counted: twice the pause between two reports of a host. */
const RATE_MS = 500
/** Milliseconds ahead for which is told what leaves the window. */
const LEAVING_MS = 1_000
/** Standard deviations by which the present rate has to differ from the mean of the window before it counts as changed. */
const DOUBT = 2
/** Ratio by which a rate that is rising is raised. */
const RISING = 1.5

/** One organisation's requests at this host, and at the other hosts of its availability zone as far as they told this one. */
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

  /** Since this host's start. */
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

  /** A request that was let through wasn't run and won't be. */
  releaseUse (letThroughAt: number, now: number): void {
    this.letThrough -= 1
    this.ownLetThrough.remove(letThroughAt, now)
    this.zoneLetThrough.remove(letThroughAt, now)
  }

  /** Takes in what another host of the zone has counted since its last word. */
  hearPeer (increase: UseTotals, now: number): void {
    this.zoneAsked.add(now, increase.asked)
    this.zoneLetThrough.add(now, increase.letThrough)
  }

  /** Let through by this host in the last milliseconds. */
  countOwn (now: number, spanMs: number): number {
    return this.ownLetThrough.estimate(now, spanMs)
  }

  /** At this host and those that told it of theirs. */
  describeZone (now: number): KnownUse {
    const letThrough = Math.max(0, this.zoneLetThrough.estimate(now, this.windowMs))
    const leaving = Math.max(0, letThrough - this.zoneLetThrough.estimate(now, this.windowMs - LEAVING_MS))
    return { letThrough, leavingPerSecond: leaving / LEAVING_MS * 1_000, askedPerSecond: this.estimateAsked(now) }
  }

  /**
   * The mean of the window, or the last half second where it differs by more than chance: few requests come unevenly without
   * meaning more. What is rising is taken to rise further while the word of it is on its way.
   */
  private estimateAsked (now: number): number {
    const last = this.zoneAsked.estimate(now, RATE_MS)
    const chance = DOUBT * Math.sqrt(Math.max(1, last))
    const mean = this.zoneAsked.estimate(now, this.windowMs) / this.windowMs * RATE_MS
    const expected = last - chance > mean ? last * RISING : Math.min(last + chance, mean)
    return expected / RATE_MS * 1_000
  }
}
