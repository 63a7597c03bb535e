import { createSeededRandom } from '../createSeededRandom.js'
import { DecisionHost } from './decisionHost.js'
import { EventLoop } from './eventLoop.js'
import type { FakeRequest } from './fakeRequest.js'
import { FakeTarget } from './fakeTarget.js'
import { LoadReport } from './loadReport.js'
import { PlainHost } from './plainHost.js'
import type { Scope } from './scope.js'
import type { ServingHost } from './servingHost.js'
import type { Source } from './source.js'

/** Retry delay after a refusal without one, in milliseconds. */
const DEFAULT_RETRY_DELAY_MS = 100

interface LoadRunOptions {
  scope: Scope
  kind: 'ours' | 'plain'
  seed: number
}

/** A simulation in virtual time of sources, one host and its targets, with the results that callers received. */
export class LoadRun {
  readonly loop = new EventLoop()
  readonly report = new LoadReport()
  readonly targets: FakeTarget[]
  readonly host: ServingHost
  private readonly sources = new Map<FakeRequest, Source>()
  private sent = 0

  constructor ({ scope, kind, seed }: LoadRunOptions) {
    this.targets = Array.from({ length: scope.targets }, (_, index) => new FakeTarget(`t${index}`, scope.slots))
    this.host = kind === 'ours' ? new DecisionHost(this.loop, this.targets, createSeededRandom(seed + 1)) : new PlainHost(this.loop, this.targets)
  }

  /** Adds a source of requests. Each source has its own random generator, so that other sources don't change its requests. */
  addSource (source: Source, seed: number): void {
    const random = createSeededRandom(seed)
    const sendNext = (): void => {
      if (this.loop.now >= source.to) return
      const caller = source.caller ?? `${source.name}-${Math.floor(random() * source.callers)}`
      const key = source.key ?? `k${Math.floor(random() * source.keys)}`
      const workMs = -Math.log(1 - random()) * source.meanMs
      this.send(source, { caller, key, workMs, attempt: 1 })
      this.loop.schedule(this.loop.now - Math.log(1 - random()) * 1_000 / source.perSecond, sendNext)
    }
    this.loop.schedule(source.from, sendNext)
  }

  run (until: number): LoadReport {
    this.host.subscribe((request, outcome, now) => {
      this.report.add(request, outcome, now)
      const source = this.sources.get(request)
      this.sources.delete(request)
      if (source === undefined || outcome.kind === 'answered' || request.attempt > source.retries) return
      const afterMs = outcome.kind === 'refused' ? outcome.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS : 0
      this.loop.schedule(now + afterMs, () => this.send(source, { ...request, attempt: request.attempt + 1 }))
    })
    this.loop.run(until)
    return this.report
  }

  private send (source: Source, parts: Pick<FakeRequest, 'caller' | 'key' | 'workMs' | 'attempt'>): void {
    const now = this.loop.now
    this.sent += 1
    const request: FakeRequest = { ...parts, id: `r${this.sent}`, source: source.name, route: source.route, arrivedAt: now, deadlineAt: now + source.deadlineMs }
    this.sources.set(request, source)
    this.host.offer(request)
  }
}
