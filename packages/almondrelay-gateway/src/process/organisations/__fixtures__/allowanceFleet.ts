import { Allowances } from '../allowances.js'
import type { UsageReport } from '../usageReport.js'

/** Milliseconds between two reports of a host, and between two steps of the simulation. */
const REPORT_INTERVAL_MS = 250
const STEP_MS = 10
/** Hosts of a zone that aggregate its reports. */
const AGGREGATORS_PER_ZONE = 2

interface ModelHost {
  index: number
  zone: number
  startedAt: number
  nextReportAt: number
  sequence: number
  isUp: boolean
  allowances: Allowances
}

interface Datagram {
  arrivesAt: number
  to: number
  report: UsageReport
}

interface FleetOptions {
  zones: number
  hostsPerZone: number
  windowMs: number
  ratePerSecond: number
  burst: number
  /** Returns values in [0, 1), the same sequence in every run. */
  random: () => number
  /** Returns the requests per second that callers of the organisation send to a host. */
  ask: (host: { index: number, zone: number }, now: number) => number
  isLinked?: (from: number, to: number, now: number) => boolean
  isDown?: (index: number, now: number) => boolean
  /** Share of the datagrams that are lost; also the share of the others that arrive twice, the second time 300 ms late. */
  loss?: number
  /** Returns the organisation's rate limit at a time, where it changes during the run. */
  ratePerSecondAt?: (now: number) => number
  /** Share of the admitted requests that are not run afterwards. */
  notRun?: number
}

const NAME = 'school'

/**
 * Simulates, in virtual time, the requests of one organisation to a fleet of hosts that exchange reports about them. Hosts that are
 * down or from which no reports arrive still count as hosts of the fleet.
 */
export class AllowanceFleet {
  /** Times of the requests that were admitted and run, and of those that were refused. */
  readonly ran: number[] = []
  readonly refused: number[] = []
  datagramsSent = 0
  now: number
  private readonly hosts: ModelHost[]
  private datagrams: Datagram[] = []

  constructor (private readonly options: FleetOptions) {
    // The hosts run for one window before the first request.
    this.now = -options.windowMs
    this.hosts = Array.from({ length: options.zones * options.hostsPerZone }, (_, index) => this.makeHost(index, this.now))
  }

  run (untilMs: number): void {
    for (; this.now < untilMs; this.now += STEP_MS) {
      this.handleDue()
      for (const host of this.hosts) this.advance(host)
    }
  }

  /** Returns the largest number of requests that ran within any window. */
  findMaxInWindow (): number {
    let max = 0
    let first = 0
    for (const [last, at] of this.ran.entries()) {
      while ((this.ran[first] as number) <= at - this.options.windowMs) first += 1
      max = Math.max(max, last - first + 1)
    }
    return max
  }

  /** Counts the refused requests for which all requests of the window up to then, refused ones included, were within the limit. */
  countWronglyRefused (): number {
    const { windowMs, ratePerSecond, burst } = this.options
    const asked = [...this.ran, ...this.refused].sort((one, other) => one - other)
    let first = 0
    let last = 0
    let wrong = 0
    for (const at of this.refused) {
      while (last < asked.length && (asked[last] as number) <= at) last += 1
      while ((asked[first] as number) <= at - windowMs) first += 1
      if (last - first <= ratePerSecond * windowMs / 1_000 + burst) wrong += 1
    }
    return wrong
  }

  private makeHost (index: number, startedAt: number): ModelHost {
    const { zones, hostsPerZone, windowMs, random } = this.options
    const zone = Math.floor(index / hostsPerZone)
    const allowances = new Allowances({ availabilityZone: `z${zone}`, windowMs, startedAt, countHosts: () => zones * hostsPerZone, isAggregator: () => this.isAggregator(index) })
    const host = { index, zone, startedAt, nextReportAt: this.now + random() * REPORT_INTERVAL_MS, sequence: 0, isUp: true, allowances }
    this.setLimits(host)
    return host
  }

  /** Returns whether a host is among the first hosts of its zone that are up. In the simulation, all hosts notice a change at once. */
  private isAggregator (index: number): boolean {
    const { hostsPerZone } = this.options
    let rank = 0
    for (let other = index - index % hostsPerZone; other < index; other += 1) if (this.hosts[other]?.isUp !== false) rank += 1
    return rank < AGGREGATORS_PER_ZONE
  }

  private setLimits ({ allowances }: ModelHost): void {
    const { ratePerSecond, burst, ratePerSecondAt } = this.options
    allowances.setOrganisations([{ name: NAME, keys: [], priority: 0, ratePerSecond: ratePerSecondAt?.(this.now) ?? ratePerSecond, burst, allowedRegions: [] }])
  }

  private advance (host: ModelHost): void {
    const { isDown, random, ask, ratePerSecondAt } = this.options
    if (isDown?.(host.index, this.now) === true) {
      host.isUp = false
      return
    }
    if (!host.isUp) Object.assign(host, this.makeHost(host.index, this.now))
    if (ratePerSecondAt !== undefined) this.setLimits(host)
    if (this.now >= host.nextReportAt) this.report(host)
    if (this.now < 0) return
    for (let asks = ask(host, this.now) * STEP_MS / 1_000; asks > 0; asks -= 1) if (random() < asks) this.ask(host)
  }

  private ask ({ allowances }: ModelHost): void {
    const { random, notRun = 0 } = this.options
    const claim = allowances.claim(NAME, this.now)
    if (random() >= claim.allowedPart) {
      this.refused.push(this.now)
      return
    }
    allowances.observeAdmitted(claim, this.now)
    if (random() < notRun) allowances.releaseClaim(claim, this.now, this.now)
    else this.ran.push(this.now)
  }

  private report (host: ModelHost): void {
    const { zones, hostsPerZone } = this.options
    host.nextReportAt = this.now + REPORT_INTERVAL_MS
    const { allowances, zone, index } = host
    const totals = allowances.takeChangedTotals()
    const isAggregator = this.isAggregator(index)
    const zoneUsage = isAggregator ? allowances.describeZone(this.now) : undefined
    const fleet = zoneUsage === undefined ? undefined : allowances.describeFleet(zoneUsage, this.now)
    for (let other = 0; other < zones * hostsPerZone; other += 1) {
      if (other === index || this.hosts[other]?.isUp === false) continue
      if (Math.floor(other / hostsPerZone) !== zone) {
        if (zoneUsage !== undefined && this.isAggregator(other)) this.send(host, other, { zone: zoneUsage })
      } else if (isAggregator || this.isAggregator(other)) this.send(host, other, { fleet, totals })
    }
  }

  private send (host: ModelHost, to: number, content: Partial<UsageReport>): void {
    const { random, loss = 0, isLinked } = this.options
    host.sequence += 1
    this.datagramsSent += 1
    if (random() < loss || isLinked?.(host.index, to, this.now) === false) return
    const report = { host: `h${host.index}`, incarnation: String(host.startedAt), availabilityZone: `z${host.zone}`, sequence: host.sequence, totals: new Map(), zone: undefined, fleet: undefined, ...content }
    const arrivesAt = this.now + (Math.floor(to / this.options.hostsPerZone) === host.zone ? 2 : 20)
    this.datagrams.push({ arrivesAt, to, report })
    if (random() < loss) this.datagrams.push({ arrivesAt: arrivesAt + 300, to, report })
  }

  private handleDue (): void {
    const due = this.datagrams.filter(({ arrivesAt }) => arrivesAt <= this.now)
    if (due.length === 0) return
    this.datagrams = this.datagrams.filter(({ arrivesAt }) => arrivesAt > this.now)
    for (const { to, report } of due) {
      const host = this.hosts[to] as ModelHost
      if (host.isUp) host.allowances.receiveReport(report, this.now)
    }
  }
}
