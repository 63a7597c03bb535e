import { RunningMean } from './runningMean.js'
import type { WorkTimes } from './workTimes.js'

/** Weight of one answer in an estimate: about the last twenty answers count. */
const GAIN = 0.05
/** Work on an object that the target holds, as a part of the latency target, before any answer was measured. */
const FIRST_WARM_PART = 0.4
/** The same for an object that it doesn't hold. */
const FIRST_COLD_PART = 1.2
/**
 * Times the work on an object that is held from which on an answer is taken for one about another object, as long as none
 * such was measured: a guess of the longer time that is twice too long would take it for the shorter one for ever.
 */
const FIRST_SPLIT = 1.6
/** Part of the work on an object that isn't held up to which an answer about one that should be held is taken for that. */
const HELD_PART = 0.9
/** Part of the same from which on work that never ended says that such work takes longer than was believed. */
const OVERRUN_PART = 0.8
/** How much longer than its time limit work is taken to last that was ended there. */
const OVERRUN_RATIO = 1.15

/**
 * Milliseconds that targets work on one request, learnt from answers.
 *
 * Answers fleets of many hosts, each of which sees an object too seldom to know whether its target holds it: an answer
 * counts for the time that it is nearer to.
 */
export class ServiceTimes {
  private readonly warm = new RunningMean(GAIN)
  private readonly cold = new RunningMean(GAIN)
  private readonly mean = new RunningMean(GAIN)
  private region: WorkTimes | undefined

  /** @param wider times that hold as long as few answers were measured here, as those of all routes to a service */
  constructor (private readonly wider?: ServiceTimes) {}

  /** Takes over what other hosts of the region have measured, for as long as this one has measured little. */
  hearRegion (times: WorkTimes): void {
    this.region = times
  }

  /** Work on an object that the target has handled lately. */
  getWarmMs (targetLatencyMs: number): number {
    return this.warm.estimate(this.wider?.getWarmMs(targetLatencyMs) ?? this.region?.warmMs ?? targetLatencyMs * FIRST_WARM_PART)
  }

  /** Work on an object that is new to the target; never less than on one that it holds. */
  getColdMs (targetLatencyMs: number): number {
    const expected = this.wider?.getColdMs(targetLatencyMs) ?? this.region?.coldMs ?? targetLatencyMs * FIRST_COLD_PART
    return Math.max(this.cold.estimate(expected), this.getWarmMs(targetLatencyMs))
  }

  /** Work on a request as they come: what those ahead in a queue will take. */
  getMeanMs (targetLatencyMs: number): number {
    return this.mean.estimate(this.wider?.getMeanMs(targetLatencyMs) ?? this.getColdMs(targetLatencyMs))
  }

  /** @param isHeld this host had the target work on the same object lately */
  learn (durationMs: number, isHeld: boolean, targetLatencyMs: number): void {
    const warmMs = this.getWarmMs(targetLatencyMs)
    const coldMs = this.getColdMs(targetLatencyMs)
    if (durationMs <= this.findMostWarm(isHeld, warmMs, coldMs)) this.warm.learn(durationMs)
    else this.cold.learn(durationMs)
    this.mean.learn(durationMs)
  }

  /** The longest time that counts as of an object that is held. */
  private findMostWarm (isHeld: boolean, warmMs: number, coldMs: number): number {
    if (isHeld) return Math.max(warmMs, coldMs * HELD_PART)
    return this.hasMeasuredCold() ? Math.sqrt(warmMs * coldMs) : warmMs * FIRST_SPLIT
  }

  private hasMeasuredCold (): boolean {
    return this.cold.hasSamples || this.region !== undefined || this.wider?.hasMeasuredCold() === true
  }

  /**
   * Notes work that was ended by its time limit. Were only answers counted, work that as often as not takes longer than it may
   * would be taken for shorter than its limit, and be begun again and again.
   */
  learnOverrun (elapsedMs: number, targetLatencyMs: number): void {
    if (elapsedMs < this.getColdMs(targetLatencyMs) * OVERRUN_PART) return
    this.cold.learn(elapsedMs * OVERRUN_RATIO)
    this.mean.learn(elapsedMs)
  }
}
