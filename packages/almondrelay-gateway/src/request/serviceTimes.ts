import { RunningMean } from './runningMean.js'
import type { WorkTimes } from './workTimes.js'

/** Weight of one answer in an estimate: about the last twenty answers count. */
const ANSWER_WEIGHT = 0.05
/** Ratio of the work on a cached object to the latency target, assumed before any answer was measured. */
const INITIAL_WARM_RATIO = 0.4
/** The same for an object that isn't cached. */
const INITIAL_COLD_RATIO = 1.2
/**
 * Ratio to the work on a cached object from which on an answer counts as one about an uncached object, for as long as no such
 * answer was measured. The guess of the work on uncached objects isn't used for that: if it were twice too long, answers about
 * uncached objects would be taken for answers about cached ones for ever.
 */
const INITIAL_SPLIT_RATIO = 1.6
/**
 * Ratio to the work on an uncached object up to which an answer about an object that should be cached counts as one about a
 * cached object.
 */
const MAX_CACHED_RATIO = 0.9
/**
 * Ratio to the work on an uncached object from which on work that was ended by its time limit counts as such work, and as longer
 * than estimated.
 */
const MIN_OVERRUN_RATIO = 0.8
/** Factor by which the duration of work that its time limit ended is raised, as the work would have taken longer. */
const OVERRUN_FACTOR = 1.15

/**
 * Estimates the milliseconds that targets work on one request, from their answers.
 *
 * In a fleet of many hosts, each one sees an object too seldom to know whether its target has it cached. So an answer counts for
 * the estimate, of cached or of uncached objects, that its duration is nearer to.
 */
export class ServiceTimes {
  private readonly warm = new RunningMean(ANSWER_WEIGHT)
  private readonly cold = new RunningMean(ANSWER_WEIGHT)
  private readonly mean = new RunningMean(ANSWER_WEIGHT)
  private region: WorkTimes | undefined

  /** @param fallback times that are used while few answers were measured here, such as those of all routes to a service */
  constructor (private readonly fallback?: ServiceTimes) {}

  /** Takes over what other hosts of the region have measured; used while this host has measured little. */
  receiveRegionTimes (times: WorkTimes): void {
    this.region = times
  }

  /** Returns the expected work on an object that the target has handled recently. */
  getWarmMs (targetLatencyMs: number): number {
    return this.warm.estimate(this.fallback?.getWarmMs(targetLatencyMs) ?? this.region?.warmMs ?? targetLatencyMs * INITIAL_WARM_RATIO)
  }

  /** Returns the expected work on an object that is new to the target; never less than on a cached one. */
  getColdMs (targetLatencyMs: number): number {
    const expected = this.fallback?.getColdMs(targetLatencyMs) ?? this.region?.coldMs ?? targetLatencyMs * INITIAL_COLD_RATIO
    return Math.max(this.cold.estimate(expected), this.getWarmMs(targetLatencyMs))
  }

  /** Returns the mean work on a request; used for the requests ahead in a queue. */
  getMeanMs (targetLatencyMs: number): number {
    return this.mean.estimate(this.fallback?.getMeanMs(targetLatencyMs) ?? this.getColdMs(targetLatencyMs))
  }

  /**
   * Records how long a target worked on an answered request.
   *
   * @param isCached whether this host recently had the target work on the same object
   */
  observeAnswer (durationMs: number, isCached: boolean, targetLatencyMs: number): void {
    const warmMs = this.getWarmMs(targetLatencyMs)
    const coldMs = this.getColdMs(targetLatencyMs)
    if (durationMs <= this.computeMaxWarmMs(isCached, warmMs, coldMs)) this.warm.add(durationMs)
    else this.cold.add(durationMs)
    this.mean.add(durationMs)
  }

  /** Computes the longest duration that counts as work on a cached object. */
  private computeMaxWarmMs (isCached: boolean, warmMs: number, coldMs: number): number {
    if (isCached) return Math.max(warmMs, coldMs * MAX_CACHED_RATIO)
    return this.hasMeasuredCold() ? Math.sqrt(warmMs * coldMs) : warmMs * INITIAL_SPLIT_RATIO
  }

  private hasMeasuredCold (): boolean {
    return this.cold.hasSamples || this.region !== undefined || this.fallback?.hasMeasuredCold() === true
  }

  /**
   * Records work that was ended by its time limit. If only answers were counted, work that exceeds its limit about every second
   * time would be estimated as shorter than the limit, and would be started again and again.
   */
  observeOverrun (elapsedMs: number, targetLatencyMs: number): void {
    if (elapsedMs < this.getColdMs(targetLatencyMs) * MIN_OVERRUN_RATIO) return
    this.cold.add(elapsedMs * OVERRUN_FACTOR)
    this.mean.add(elapsedMs)
  }
}
