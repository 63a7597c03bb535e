import type { LoadStatement } from './loadStatement.js'

/** Time, in milliseconds, in which the information in a statement falls to 1/e: slow targets change about every 0.6 s. */
const COHERENCE_MS = 600
/** Age, in milliseconds, above which a statement counts as unknown: it has lost 97% of its information. */
const MAX_AGE_MS = 2_000
const NORMAL_PERCENT = 100
/**
 * Bounds of the slowness that is used. Targets that falsely state that they work at five times the usual speed drew so many requests
 * that 0.677 instead of 0.699 were on time in the model.
 */
const MIN_SLOWNESS = 0.5
const MAX_SLOWNESS = 20
/**
 * Difference of logarithms from which on the time of an answer fits the usual speed better than the stated one. A host doesn't know
 * whether the object was cached, so the time is compared with both kinds of work.
 */
const MAX_MISFIT = 0.35
/** Ratio to the longest work at the stated speed above which an answer contradicts it, as single long requests do as well. */
const MAX_WORK_RATIO = 1.6
/** Contradictions, halved by each answer that agrees, at which a target's statements are no longer trusted. */
const MAX_CONTRADICTIONS = 3
/** Milliseconds for which statements aren't trusted, doubled each time up to the maximum until answers agree again. */
const DISTRUST_MS = 5_000
const MAX_DISTRUST_MS = 40_000
/** Contradictions below which answers agree again: after about five that do. */
const AGREEMENT = 0.1
/** Sends kept since a statement; more than a target with its queue can hold. */
const MAX_SENDS = 64

interface MeasuredWork {
  /** Measured milliseconds of work, and the speed that the target stated with the answer. */
  workMs: number
  speedPercent: number
  /** Expected work on a cached and on an uncached object at the usual speed, and the expected wait before it. */
  warmMs: number
  coldMs: number
  waitMs: number
}

/**
 * What one incarnation of a target last stated about its load, how old that is, and this host's own sends since.
 *
 * Handles load that moves between targets faster than a host can measure it: of 100 targets 15 are 2.5 times as slow, which ones
 * changes about every 0.6 s, and a host receives 4 to 20 answers a second from all of them together. Times are monotonic milliseconds.
 */
export class StatedLoad {
  private statement: LoadStatement | undefined
  private statedAt = -Infinity
  private distrustedUntil = -Infinity
  private contradictions = 0
  private distrustMs = DISTRUST_MS
  private sentAt: number[] = []

  /** Takes over a statement made at the given time; false if it is no newer than the last one. */
  receive (statement: LoadStatement, statedAt: number): boolean {
    if (statedAt <= this.statedAt) return false
    this.statement = statement
    this.statedAt = statedAt
    this.sentAt = this.sentAt.filter((at) => at > statedAt)
    return true
  }

  /** Records that this host sends the target a request. */
  observeSend (now: number): void {
    if (this.sentAt.length === MAX_SENDS) this.sentAt.shift()
    this.sentAt.push(now)
  }

  /** Compares the time of an answer with the speed that the target stated in it. */
  observeWork ({ workMs, speedPercent, warmMs, coldMs, waitMs }: MeasuredWork, now: number): void {
    const stated = speedPercent / NORMAL_PERCENT
    const isMisfit = computeMisfit(workMs, [warmMs * stated, coldMs * stated]) - computeMisfit(workMs, [warmMs, coldMs]) > MAX_MISFIT
    // With a queue the time in it isn't known well enough to tell that the work took too long.
    const isTooSlow = waitMs === 0 && workMs > coldMs * stated * MAX_WORK_RATIO
    this.contradictions = isMisfit || isTooSlow ? this.contradictions + 1 : this.contradictions / 2
    if (this.contradictions < AGREEMENT) this.distrustMs = DISTRUST_MS
    if (this.contradictions < MAX_CONTRADICTIONS || !this.isTrusted(now)) return
    this.contradictions = 1
    this.distrustedUntil = now + this.distrustMs
    this.distrustMs = Math.min(MAX_DISTRUST_MS, this.distrustMs * 2)
  }

  /** Returns the stated speed as a factor, within bounds; undefined while the target's statements aren't trusted. */
  limitSlowness (speedPercent: number, now: number): number | undefined {
    return this.isTrusted(now) ? Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, speedPercent / NORMAL_PERCENT)) : undefined
  }

  isTrusted (now: number): boolean {
    return now >= this.distrustedUntil
  }

  /** Returns the statement while it is recent and trusted. */
  get (now: number): LoadStatement | undefined {
    return this.computeAge(now) <= MAX_AGE_MS && this.isTrusted(now) ? this.statement : undefined
  }

  /** Returns the milliseconds since the last statement; Infinity before the first. */
  computeAge (now: number): number {
    return Math.max(0, now - this.statedAt)
  }

  /** Returns the factor by which work probably takes longer than usual now; undefined if there is no recent and trusted statement. */
  getSlowness (now: number): number | undefined {
    const statement = this.get(now)
    const stated = statement === undefined ? undefined : this.limitSlowness(statement.speedPercent, now)
    return stated === undefined ? undefined : 1 + (stated - 1) * this.computeWeight(now)
  }

  /** Estimates the requests at the target by its statement and this host's sends since; undefined without a usable statement. */
  estimateOutstanding (now: number): number | undefined {
    const statement = this.get(now)
    return statement === undefined ? undefined : statement.running + statement.waiting + this.sentAt.length
  }

  /** Returns how much a statement of this age still says, from 1 to 0. */
  computeWeight (now: number): number {
    return Math.exp(-this.computeAge(now) / COHERENCE_MS)
  }
}

/** Returns how far work is from the nearest of the expected ones, as the difference of their logarithms. */
const computeMisfit = (workMs: number, expected: readonly number[]): number => Math.min(...expected.map((each) => Math.abs(Math.log(workMs / each))))
