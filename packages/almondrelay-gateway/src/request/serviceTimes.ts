import { RunningMean } from './runningMean.js'
import type { WorkTimes } from './workTimes.js'

/** Weight of one answer in an estimate: about the last twenty answers count. */
const GAIN = 0.05
/** Ratio of the work on a cached object to the latency target, assumed before any answer was measured. */
const FIRST_WARM_PART = 0.4
/** The same for an object that isn't cached. */
const FIRST_COLD_PART = 1.2
/**
 * Ratio to the work on a cached object from which on an answer counts as one about an uncached object, for as long as no such
 * answer was measured. The guess of the work on uncached objects isn't used for that: if it were twice too long, answers about
 * uncached objects would be taken for answers about cached ones for ever.
 */
const FIRST_SPLIT = 1.6
/**
 * Ratio to the work on an uncached object up to which an answer about an object that should be cached counts as one about a
 * cached object.
 */
const HELD_PART = 0.9
/**
 * Ratio to the work on an uncached object from which on work that was ended by its time limit counts as such work, and as longer
 * than estimated.
 */
const OVERRUN_PART = 0.8
/** Factor by which the duration of work that its time limit ended is raised, as the work would have taken longer. */
const OVERRUN_RATIO = 1.15

/**
 * Estimates the milliseconds that targets work on one request, from their answers.
 *
 * In a fleet of many hosts, each one sees an object too seldom to know whether its target has it cached. So an answer counts for
 * the estimate, of cached or of uncached objects, that its duration is nearer to.
 */
export class ServiceTimes {
  private readonly warm = new RunningMean(GAIN)
  private readonly cold = new RunningMean(GAIN)
  private readonly mean = new RunningMean(GAIN)
  private region: WorkTimes | undefined

  /** @param fallback times that are used while few answers were measured here, such as those of all routes to a service */
  constructor (private readonly wider?: ServiceTimes) {}

  /** Takes over what other hosts of the region have measured; used while this host has measured little. */
  hearRegion (times: WorkTimes): void {
    this.region = times
  }

  /** Returns the expected work on an object that the target has handled recently. */
  getWarmMs (targetLatencyMs: number): number {
    return this.warm.estimate(this.wider?.getWarmMs(targetLatencyMs) ?? this.region?.warmMs ?? targetLatencyMs * FIRST_WARM_PART)
  }

  /** Returns the expected work on an object that is new to the target; never less than on a cached one. */
  getColdMs (targetLatencyMs: number): number {
    const expected = this.wider?.getColdMs(targetLatencyMs) ?? this.region?.coldMs ?? targetLatencyMs * FIRST_COLD_PART
    return Math.max(this.cold.estimate(expected), this.getWarmMs(targetLatencyMs))
  }

  /** Returns the mean work on a request; used for the requests ahead in a queue. */
  getMeanMs (targetLatencyMs: number): number {
    return this.mean.estimate(this.wider?.getMeanMs(targetLatencyMs) ?? this.getColdMs(targetLatencyMs))
  }

  /**
   * Records how long a target worked on an answered request.
   *
   * @param isCached whether this host recently had the target work on the same object
   */
  learn (durationMs: number, isHeld: boolean, targetLatencyMs: number): void {
    const warmMs = this.getWarmMs(targetLatencyMs)
    const coldMs = this.getColdMs(targetLatencyMs)
    if (durationMs <= this.findMostWarm(isHeld, warmMs, coldMs)) this.warm.learn(durationMs)
    else this.cold.learn(durationMs)
    this.mean.learn(durationMs)
  }

  /** Computes the longest duration that counts as work on a cached object. */
  private findMostWarm (isHeld: boolean, warmMs: number, coldMs: number): number {
    if (isHeld) return Math.max(warmMs, coldMs * HELD_PART)
    return this.hasMeasuredCold() ? Math.sqrt(warmMs * coldMs) : warmMs * FIRST_SPLIT
  }

  private hasMeasuredCold (): boolean {
    return this.cold.hasSamples || this.region !== undefined || this.wider?.hasMeasuredCold() === true
  }

  /**
   * Records work that was ended by its time limit. If only answers were counted, work that exceeds its limit about every second
   * time would be estimated as shorter than the limit, and would be started again and again.
   */
  learnOverrun (elapsedMs: number, targetLatencyMs: number): void {
    if (elapsedMs < this.getColdMs(targetLatencyMs) * OVERRUN_PART) return
    this.cold.learn(elapsedMs * OVERRUN_RATIO)
    this.mean.learn(elapsedMs)
  }
}
