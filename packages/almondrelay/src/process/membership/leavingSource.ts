import type { LeavingTargets } from './leavingTargets.js'

/**
 * One source of reports on leaving targets, such as the host list or the targets themselves.
 *
 * Guards against a target that goes in and out of use with each poll because two sources differ, as the host list lags.
 * Only a change in a source's own reports is passed on, so the report of the other source applies until then.
 */
export class LeavingSource {
  private readonly reportedLeaving = new Set<string>()

  constructor (private readonly targets: LeavingTargets) {}

  observe (service: string, target: string, isLeaving: boolean, now: number): void {
    const key = `${service}/${target}`
    if (this.reportedLeaving.has(key) === isLeaving) return
    if (isLeaving) this.reportedLeaving.add(key)
    else this.reportedLeaving.delete(key)
    this.targets.observe({ service, target, isLeaving, ageMs: 0 }, now)
  }
}
