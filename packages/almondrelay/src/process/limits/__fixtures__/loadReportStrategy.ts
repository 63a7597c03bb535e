import { LimitStrategy } from './limitStrategy.js'

const REPORT_MS = 250
const LAG_MS = 50

/** Each host chooses targets by their last reported load plus the requests that it started since, and corrects its estimate at the next report. */
export class LoadReportStrategy extends LimitStrategy {
  private seen = new Map<string, number>()
  private reports: Array<{ at: number, running: Map<string, number> }> = []
  private started = new Map<string, number>()
  private nextReport = 0

  constructor (private readonly targets: readonly string[], private readonly slots: number) {
    super()
  }

  tryStart (host: number): string | undefined {
    const estimate = (target: string): number => (this.seen.get(target) ?? 0) + (this.started.get(`${host}/${target}`) ?? 0)
    const best = this.targets.reduce((left, right) => estimate(right) < estimate(left) ? right : left)
    if (estimate(best) >= this.slots) return undefined
    this.started.set(`${host}/${best}`, (this.started.get(`${host}/${best}`) ?? 0) + 1)
    return best
  }

  release (host: number, _holder: string, target: string): void {
    const key = `${host}/${target}`
    this.started.set(key, Math.max(0, (this.started.get(key) ?? 0) - 1))
  }

  advance (now: number, running: ReadonlyMap<string, number>): void {
    if (now >= this.nextReport) {
      this.reports.push({ at: now, running: new Map(running) })
      this.nextReport = now + REPORT_MS
    }
    while (this.reports.length > 0 && this.reports[0]!.at + LAG_MS <= now) {
      this.seen = this.reports.shift()!.running
      this.started = new Map()
    }
  }
}
