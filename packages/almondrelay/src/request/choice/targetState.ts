import type { TargetSpec } from '../../version/resources/targetSpec.js'
import { ColdRamp } from './coldRamp.js'
import { ReportTrust } from './reportTrust.js'
import type { TargetResult } from './targetResult.js'

/** Weight of one answer in the target's slowness: a target that becomes 10 times slower exceeds `SLOW_RATIO` with its second answer. */
const SLOWNESS_WEIGHT = 0.2
/**
 * Slowness, relative to the typical slowness of the service, above which a target is ejected. Far above what
 * healthy targets with exponential service times reach by chance; see docs/design/target-choice.md.
 */
const SLOW_RATIO = 4
const MAX_RATIO = 20
/** A running request is overdue after this many times its expected latency, but not before `MIN_OVERDUE_MS`. */
const OVERDUE_FACTOR = 10
const MIN_OVERDUE_MS = 200
/** Time after which a request of unknown cost is overdue, in milliseconds. */
const UNKNOWN_COST_TIMEOUT_MS = 5_000
const FAILURES_TO_EJECT = 2
const SHEDS_TO_EJECT = 8
const MIN_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 8_000
/** Share of the backoff over which the trials of different hosts are spread. */
const TRIAL_SPREAD_SHARE = 0.5
/** A target unused for this long counts as cold again; cache entries usually have a longer time to live. */
const COLD_AFTER_IDLE_MS = 60_000

interface RunningAttempt {
  startedAt: number
  /** Time without an answer after which the attempt is overdue, in milliseconds. */
  overdueAfterMs: number
  expectedMs: number | undefined
}

/** State of one target of a service at one host, measured primarily by the host's own requests. */
export class TargetState {
  isMarkedLeaving = false
  isReportedLeaving = false
  /** Measured latency divided by the expected latency, averaged over the last answers to this host. */
  slowness = 1
  /** Set while the target gets only trial requests: the earliest time of the next trial. */
  trialAt: number | undefined
  /** Random number, 0 to 1, by which the next trial is delayed. */
  trialSpread = 0
  readonly reports = new ReportTrust()
  private ramp: ColdRamp
  private attempts: RunningAttempt[] = []
  private failures = 0
  private sheds = 0
  private backoffMs = MIN_BACKOFF_MS
  private lastAnswerAt = -Infinity
  private lastUsedAt: number

  constructor (readonly name: string, public slots: number, now: number) {
    this.ramp = ColdRamp.createCold(slots)
    this.lastUsedAt = now
  }

  get running (): number {
    return this.attempts.length
  }

  get isLeaving (): boolean {
    return this.isMarkedLeaving || this.isReportedLeaving
  }

  /** Requests that the target may run at once, trials apart: none while it is leaving or ejected. */
  get allowed (): number {
    if (this.isLeaving || this.trialAt !== undefined) return 0
    return this.ramp.allowed
  }

  get isWarm (): boolean {
    return this.trialAt === undefined && this.ramp.isDone
  }

  applySpec (spec: TargetSpec): void {
    this.slots = spec.slots
    this.ramp.setSlots(spec.slots)
  }

  start (expectedMs: number | undefined, typicalRatio: number, now: number): void {
    const overdueAfterMs = expectedMs === undefined ? UNKNOWN_COST_TIMEOUT_MS : Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * expectedMs * typicalRatio)
    this.attempts.push({ startedAt: now, overdueAfterMs, expectedMs })
    this.lastUsedAt = now
  }

  /** Returns the attempt's latency divided by its expected latency; undefined where the ratio says nothing about the target. */
  finish (result: TargetResult, typicalRatio: number, now: number): number | undefined {
    const attempt = this.takeAttempt(now - result.latencyMs)
    this.lastUsedAt = now
    if (attempt === undefined) return undefined
    const isOverdue = result.latencyMs > attempt.overdueAfterMs
    if (result.cancelled === true && !isOverdue) return undefined
    if (result.shed === true) return this.observeShed(now)
    if (!result.ok) return this.observeFailure(now)
    if (attempt.expectedMs === undefined) return this.observeUnknownCost(now)
    return this.observeAnswer(Math.min(MAX_RATIO, result.latencyMs / attempt.expectedMs), typicalRatio, now)
  }

  /**
   * Whether the target accepts requests and does not answer them. As no answer shows this, it is
   * inferred from the running attempts: one is overdue, and no successful answer was received since it began.
   */
  isSilent (now: number): boolean {
    return this.attempts.some((attempt) => now - Math.max(attempt.startedAt, this.lastAnswerAt) > attempt.overdueAfterMs)
  }

  /** Stops sending requests to the target; a trial follows after a delay that doubles with each ejection. */
  eject (now: number): void {
    const isWaiting = this.trialAt !== undefined && this.trialAt > now
    if (isWaiting) return
    this.trialAt = now + this.backoffMs * (1 + TRIAL_SPREAD_SHARE * this.trialSpread)
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2)
  }

  /** Restarts the ramp of a target without work for a long time, as its caches are cold; returns whether it did. */
  checkIdle (now: number): boolean {
    if (this.running > 0 || now - this.lastUsedAt < COLD_AFTER_IDLE_MS) return false
    this.lastUsedAt = now
    this.ramp = ColdRamp.createCold(this.slots)
    return true
  }

  private takeAttempt (startedAt: number): RunningAttempt | undefined {
    let nearest = 0
    this.attempts.forEach((attempt, index) => {
      const best = this.attempts[nearest] as RunningAttempt
      if (Math.abs(attempt.startedAt - startedAt) < Math.abs(best.startedAt - startedAt)) nearest = index
    })
    return this.attempts.splice(nearest, 1)[0]
  }

  private observeShed (now: number): undefined {
    this.sheds += 1
    this.ramp.observeShed(this.running + 1)
    if (this.trialAt !== undefined || this.sheds >= SHEDS_TO_EJECT) this.eject(now)
    return undefined
  }

  private observeFailure (now: number): undefined {
    this.failures += 1
    if (this.trialAt !== undefined || this.failures >= FAILURES_TO_EJECT) this.eject(now)
    return undefined
  }

  /** Records an answer to a request of unknown cost: it shows only that the target is not silent. */
  private observeUnknownCost (now: number): undefined {
    this.failures = 0
    this.sheds = 0
    this.lastAnswerAt = now
    if (this.trialAt !== undefined) this.finishTrial(1, now)
    else this.ramp.observe(1)
    return undefined
  }

  private observeAnswer (ratio: number, typicalRatio: number, now: number): number {
    const relative = ratio / typicalRatio
    this.failures = 0
    this.sheds = 0
    this.lastAnswerAt = now
    this.reports.observe(relative, now)
    this.slowness = this.trialAt === undefined ? this.slowness + SLOWNESS_WEIGHT * (ratio - this.slowness) : ratio
    if (this.trialAt !== undefined) this.finishTrial(relative, now)
    else this.checkSlow(relative, typicalRatio, now)
    return ratio
  }

  private finishTrial (relative: number, now: number): void {
    if (relative > SLOW_RATIO) {
      this.eject(now)
      return
    }
    this.trialAt = undefined
    this.ramp = ColdRamp.createAfterTrial(this.slots)
  }

  private checkSlow (relative: number, typicalRatio: number, now: number): void {
    this.ramp.observe(relative)
    if (this.ramp.isDone) this.backoffMs = MIN_BACKOFF_MS
    if (this.slowness > SLOW_RATIO * typicalRatio && !this.ramp.isToleratingSlow) this.eject(now)
  }
}
