import type { TargetReport } from './targetReport.js'

/** Time in which a report loses two thirds of its weight: some eight reports at one a quarter second. */
const FADE_MS = 2_000
const HIGH_LOAD = 0.8
const LOW_LOAD = 0.5
/** Latency over the typical one that fits a target with free slots, and one that does not. */
const FAST_RATIO = 1.5
const SLOW_RATIO = 3
const CONTRADICTED = 0.85
const CONFIRMED = 0.05
const MIN_TRUST = 0.02
const BELIEVED = 0.5

/**
 * Weighs what a target says of itself against what is seen of it.
 *
 * Answers load reports that lag or lie. A report only ever adds to the load that is
 * counted here, so a target can't draw work by claiming to be free; it fades with age; and
 * each answer that contradicts it takes trust from the target's later reports, so that one
 * that claims to be full while it answers fast does not stay unused.
 */
export class ReportTrust {
  private trust = 1
  private report: TargetReport | undefined
  private reportedAt = 0

  accept (report: TargetReport, now: number): void {
    this.report = report
    this.reportedAt = now
  }

  /** Whether the latest report says unhealthy and is to be believed. */
  get isUnhealthy (): boolean {
    return this.report !== undefined && !this.report.healthy && this.trust > BELIEVED
  }

  /** Load above `ownLoad` (0 to 1) to count, after age and trust. */
  estimateExtraLoad (ownLoad: number, now: number): number {
    if (this.report === undefined) return 0
    const extra = Math.min(1, this.report.load) - ownLoad
    return extra <= 0 ? 0 : extra * this.weigh(now)
  }

  /** `ratio`: an own answer's latency over the typical one. */
  observe (ratio: number, now: number): void {
    if (this.report === undefined || now - this.reportedAt > FADE_MS) return
    const isContradicted = this.isContradicted(this.report, ratio)
    this.trust = isContradicted ? Math.max(MIN_TRUST, this.trust * CONTRADICTED) : this.trust + CONFIRMED * (1 - this.trust)
  }

  private isContradicted (report: TargetReport, ratio: number): boolean {
    if (!report.healthy) return ratio <= FAST_RATIO
    if (report.load >= HIGH_LOAD) return ratio <= FAST_RATIO
    return report.load <= LOW_LOAD && ratio >= SLOW_RATIO
  }

  private weigh (now: number): number {
    return this.trust * Math.exp(-Math.max(0, now - this.reportedAt) / FADE_MS)
  }
}
