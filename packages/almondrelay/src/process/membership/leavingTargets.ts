import { ChangeTracker } from './changeTracker.js'

/** Report that a target takes no new work, or takes it again. */
interface LeavingTarget {
  service: string
  target: string
  isLeaving: boolean
  /** Age of this report when it was sent, in milliseconds. */
  ageMs: number
}

interface LeavingEntry {
  service: string
  target: string
  isLeaving: boolean
  reportedAt: number
}

/** A report expires at this age unless it is repeated; by then a target that has left is no longer in its Service. */
const MAX_REPORT_AGE_MS = 600_000

/** Targets that are leaving, by their own report or by that of another source; the latest report of each applies. */
export class LeavingTargets {
  readonly changeTracker = new ChangeTracker()
  private readonly entries = new Map<string, LeavingEntry>()

  /** Records a report from a target itself, from the host list or from a peer. Returns whether it changed the state of the target. */
  observe (report: LeavingTarget, now: number): boolean {
    const key = `${report.service}/${report.target}`
    const known = this.entries.get(key)
    const reportedAt = now - report.ageMs
    if (report.ageMs > MAX_REPORT_AGE_MS || (known !== undefined && known.reportedAt >= reportedAt)) return false
    const isChange = (known?.isLeaving ?? false) !== report.isLeaving
    this.entries.set(key, { service: report.service, target: report.target, isLeaving: report.isLeaving, reportedAt })
    if (isChange) this.changeTracker.mark(key)
    return isChange
  }

  isLeaving (service: string, target: string): boolean {
    return this.entries.get(`${service}/${target}`)?.isLeaving ?? false
  }

  getReport (key: string, now: number): LeavingTarget | undefined {
    const entry = this.entries.get(key)
    if (entry === undefined) return undefined
    return { service: entry.service, target: entry.target, isLeaving: entry.isLeaving, ageMs: Math.round(Math.max(0, now - entry.reportedAt)) }
  }

  expire (now: number): void {
    for (const [key, entry] of this.entries) {
      if (now - entry.reportedAt <= MAX_REPORT_AGE_MS) continue
      this.entries.delete(key)
      this.changeTracker.remove(key)
    }
  }
}
