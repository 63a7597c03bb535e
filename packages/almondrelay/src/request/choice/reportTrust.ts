import type { TargetReport } from './targetReport.js'

/** Time in which a report loses about two thirds of its weight: the time of eight reports at four a second. */
const REPORT_DECAY_MS = 2_000
const HIGH_LOAD = 0.8
const LOW_LOAD = 0.5
/** Ratio to the typical latency up to which an answer indicates free slots, and from which it indicates that there are none. */
const MAX_FAST_RATIO = 1.5
const MIN_SLOW_RATIO = 3
const CONTRADICTED_TRUST_FACTOR = 0.85
const CONFIRMED_TRUST_GAIN = 0.05
const MIN_TRUST = 0.02
const MIN_UNHEALTHY_TRUST = 0.5

/**
 * Weighs a target's load reports against the latency of its answers.
 *
 * Load reports may lag or be wrong. A report can only add to the load that this host counts
 * itself, so a target can't attract work by reporting free slots. The weight of a report decays
 * with its age, and each answer that contradicts it reduces the trust in the target's later
 * reports, so that a target that reports full load while it answers fast does not stay unused.
 */
export class ReportTrust {
  private trust = 1
  private report: TargetReport | undefined
  private reportedAt = 0

  accept (report: TargetReport, now: number): void {
    this.report = report
    this.reportedAt = now
  }

  /** Whether the latest report says that the target is unhealthy and the trust in its reports is sufficient. */
  get isUnhealthy (): boolean {
    return this.report !== undefined && !this.report.healthy && this.trust > MIN_UNHEALTHY_TRUST
  }

  /** Reported load in excess of `ownLoad` (0 to 1), weighted by age and trust. */
  estimateExtraLoad (ownLoad: number, now: number): number {
    if (this.report === undefined) return 0
    const extra = Math.min(1, this.report.load) - ownLoad
    return extra <= 0 ? 0 : extra * this.computeWeight(now)
  }

  /** Compares an answer with the report. `ratio`: the latency of an answer to this host divided by the typical latency. */
  observe (ratio: number, now: number): void {
    if (this.report === undefined || now - this.reportedAt > REPORT_DECAY_MS) return
    const isContradicted = this.isContradicted(this.report, ratio)
    this.trust = isContradicted ? Math.max(MIN_TRUST, this.trust * CONTRADICTED_TRUST_FACTOR) : this.trust + CONFIRMED_TRUST_GAIN * (1 - this.trust)
  }

  private isContradicted (report: TargetReport, ratio: number): boolean {
    if (!report.healthy) return ratio <= MAX_FAST_RATIO
    if (report.load >= HIGH_LOAD) return ratio <= MAX_FAST_RATIO
    return report.load <= LOW_LOAD && ratio >= MIN_SLOW_RATIO
  }

  private computeWeight (now: number): number {
    return this.trust * Math.exp(-Math.max(0, now - this.reportedAt) / REPORT_DECAY_MS)
  }
}
