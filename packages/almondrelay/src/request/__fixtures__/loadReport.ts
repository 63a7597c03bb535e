import type { FakeOutcome } from './fakeOutcome.js'
import type { FakeRequest } from './fakeRequest.js'

interface Received {
  source: string
  kind: FakeOutcome['kind']
  arrivedAt: number
  durationMs: number
  isAfterDeadline: boolean
}

interface Selection {
  source?: string
  from?: number
  to?: number
}

/** Results that callers received in one run. */
export class LoadReport {
  private readonly received: Received[] = []

  add (request: FakeRequest, outcome: FakeOutcome, now: number): void {
    this.received.push({ source: request.source, kind: outcome.kind, arrivedAt: request.arrivedAt, durationMs: now - request.arrivedAt, isAfterDeadline: now > request.deadlineAt })
  }

  count (kind: FakeOutcome['kind'], selection: Selection = {}): number {
    return this.select(kind, selection).length
  }

  countAfterDeadline (): number {
    return this.received.filter((each) => each.kind !== 'late' && each.isAfterDeadline).length
  }

  /** Share of the requests that were refused or got no answer, 0 to 1. */
  computeUnserved (selection: Selection = {}): number {
    const answered = this.count('answered', selection)
    const unserved = this.count('refused', selection) + this.count('late', selection)
    return unserved / Math.max(1, answered + unserved)
  }

  /** Percentile `rank` (0 to 1) of the time from arrival to such an outcome, in milliseconds. */
  computePercentile (rank: number, selection: Selection = {}, kind: FakeOutcome['kind'] = 'answered'): number {
    const times = this.select(kind, selection).map((each) => each.durationMs).sort((one, other) => one - other)
    return times[Math.min(times.length - 1, Math.floor(rank * times.length))] ?? 0
  }

  private select (kind: FakeOutcome['kind'], { source, from = 0, to = Infinity }: Selection): Received[] {
    return this.received.filter((each) => each.kind === kind && (source === undefined || each.source === source) && each.arrivedAt >= from && each.arrivedAt < to)
  }
}
