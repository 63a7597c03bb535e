import type { LeavingTargets } from './leavingTargets.js'

/**
 * One source of word on leaving targets, such as the host list or the targets themselves.
 *
 * Failure: two sources differ, as the list lags, and a target goes in and out of use with each poll. Only
 * a change of a source's own word is passed on, so what the other source said stands until then.
 */
export class LeavingSource {
  private readonly said = new Set<string>()

  constructor (private readonly targets: LeavingTargets) {}

  observe (service: string, target: string, isLeaving: boolean, now: number): void {
    const key = `${service}/${target}`
    if (this.said.has(key) === isLeaving) return
    if (isLeaving) this.said.add(key)
    else this.said.delete(key)
    this.targets.observe({ service, target, isLeaving, ageMs: 0 }, now)
  }
}
