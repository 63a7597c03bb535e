import type { HostEntry } from '../fleet/hostEntry.js'
import type { EventLog } from '../observe/eventLog.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { PeerView } from '../peers/peerView.js'
import { sendToHosts } from '../peers/sendToHosts.js'
import type { WorkShares } from '../shares/workShares.js'
import type { Allowances } from './allowances.js'
import { encodeUsageReport } from './encodeUsageReport.js'
import type { UsageReport } from './usageReport.js'

/** Milliseconds between reports. Requests that a host admits within one interval are not yet known to any other host. */
const REPORT_INTERVAL_MS = 250
/** Milliseconds between reports while no counts have changed. They are still sent, so that peers know that this host is running. */
const IDLE_REPORT_INTERVAL_MS = 500
/** Maximum bytes per second that a host sends in reports of limits, out of 12 KB per second for all its control traffic. */
const MAX_BYTES_PER_SECOND = 9_000
/** Milliseconds between reports of work for fair shares, and between empty shares sent while no service is overloaded. */
const WORK_INTERVAL_MS = 500
const CALM_SHARES_INTERVAL_MS = 1_000
/** Maximum bytes per second of these reports, apart from those of limits; the interval grows with their size. */
const MAX_WORK_BYTES_PER_SECOND = 4_000
/**
 * Bytes of the shares that an aggregator sends to all hosts of its zone at once: two seconds' worth. In a large zone they therefore contain
 * fewer organisations, those that ask for most.
 */
const MAX_SHARES_BYTES = 8_000
/** Approximate bytes of shares without organisations, with headers, and of one organisation in them. */
const SHARES_BASE_BYTES = 130
const SHARES_ORGANISATION_BYTES = 9
const MIN_SHARES_ORGANISATIONS = 8

interface ExchangeParts {
  own: HostEntry
  view: PeerView
  allowances: Allowances
  /** Undefined where fair shares aren't held; then nothing of them is sent. */
  shares?: WorkShares | undefined
  socket: PeerSocket
  log: Pick<EventLog, 'logError'>
  getNow: () => number
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
}

/**
 * Sends this host's counts of organisations' requests to the aggregators of its zone and applies the reports that it receives. If this
 * host is an aggregator itself, it also sends its zone's sum to the other zones and the sum of all zones to the hosts of its zone.
 */
export class UsageExchange {
  private sequence = 0
  private idleReportSentAt = -Infinity
  private sharesDueAt = -Infinity
  private workDueAt = -Infinity
  private sharesSentAt = -Infinity

  constructor (private readonly parts: ExchangeParts) {}

  /** Sends reports until the signal aborts. The interval grows with the number of receivers, which keeps the bytes per second bounded. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      // Reports of work are paced by themselves: their bytes would delay those of limits, and hosts would admit more that no other host knows of.
      const bytes = this.parts.allowances.hasLimits ? this.runStep(() => this.sendRound()) : 0
      this.runStep(() => this.sendWork())
      // The interval is the same while no organisation has a limit. A host that has just started learns of the limits a moment later;
      // with a longer interval it would admit requests meanwhile that no other host knows of.
      await this.parts.sleep(Math.max(REPORT_INTERVAL_MS, bytes / MAX_BYTES_PER_SECOND * 1_000), signal)
    }
  }

  /**
   * Applies a report if its sender is a known host of the zone that it names. Reports decide which requests are refused, so others are
   * ignored.
   */
  handleReport (report: UsageReport, ip: string): void {
    const { view, allowances, shares, getNow } = this.parts
    const sender = view.findSender(report, ip)
    if (sender === undefined || sender.availabilityZone !== report.availabilityZone) return
    if (report.work !== undefined) shares?.receiveReport(report.host, sender, report.work, getNow())
    allowances.receiveReport(report, getNow())
  }

  /** Sends the reports of one kind. After an error the next round sends again, as a host that exits serves nobody. */
  private runStep (send: () => number): number {
    try {
      return send()
    } catch (error) {
      this.parts.log.logError('usage reports of this round not sent', error as Error)
      return 0
    }
  }

  private sendRound (): number {
    const { own, view, allowances, getNow } = this.parts
    const now = getNow()
    const isIdleReportDue = now - this.idleReportSentAt >= IDLE_REPORT_INTERVAL_MS
    if (isIdleReportDue) this.idleReportSentAt = now
    const totals = allowances.takeChangedTotals()
    const bytes = totals.size > 0 || isIdleReportDue ? this.send(view.listAggregators(own.availabilityZone, now), { totals }) : 0
    return view.isAggregator(now) ? bytes + this.sendSums(isIdleReportDue, now) : bytes
  }

  private sendSums (isIdleReportDue: boolean, now: number): number {
    const { view, allowances } = this.parts
    const zone = allowances.describeZone(now)
    const fleet = allowances.describeFleet(zone, now)
    if (fleet.usageByOrganisation.size === 0 && !isIdleReportDue) return 0
    return this.send(view.listRemoteAggregators(now), { zone }) + this.send(view.listZonePeers(now), { fleet })
  }

  /** Sends what fair shares are computed from and, as an aggregator, the shares. Their bytes per second are bounded by the interval. */
  private sendWork (): number {
    const { own, view, shares, getNow } = this.parts
    const now = getNow()
    if (shares === undefined) return 0
    if (now >= this.sharesDueAt) {
      this.sharesDueAt = now + WORK_INTERVAL_MS
      shares.update(now)
    }
    if (now < this.workDueAt) return 0
    this.workDueAt = now + WORK_INTERVAL_MS
    const bytes = this.send(view.listAggregators(own.availabilityZone, now), { work: shares.describeOwn(now) }) + (view.isAggregator(now) ? this.sendShares(shares, now) : 0)
    this.workDueAt = now + Math.max(WORK_INTERVAL_MS, bytes / MAX_WORK_BYTES_PER_SECOND * 1_000)
    return bytes
  }

  private sendShares (shares: WorkShares, now: number): number {
    const { own, view } = this.parts
    const regionAggregators = view.listRemoteAggregators(now).filter(({ region }) => region === own.region)
    const bytes = this.send(regionAggregators, { work: shares.describeZone(now) })
    const receivers = view.listZonePeers(now)
    const organisations = (MAX_SHARES_BYTES / Math.max(1, receivers.length) - SHARES_BASE_BYTES) / SHARES_ORGANISATION_BYTES
    const work = shares.describeShares(now, Math.max(MIN_SHARES_ORGANISATIONS, Math.floor(organisations)))
    if (work === undefined || (!shares.hasOverload(now) && now - this.sharesSentAt < CALM_SHARES_INTERVAL_MS)) return bytes
    this.sharesSentAt = now
    return bytes + this.send(receivers, { work })
  }

  /** Sends one report to all given hosts but this one, and returns the bytes sent, headers included. */
  private send (entries: readonly HostEntry[], content: Partial<UsageReport>): number {
    const { own, socket } = this.parts
    const receivers = entries.filter(({ name }) => name !== own.name)
    if (receivers.length === 0) return 0
    this.sequence += 1
    const bytes = encodeUsageReport({ host: own.name, incarnation: own.incarnation, availabilityZone: own.availabilityZone, sequence: this.sequence, totals: new Map(), zone: undefined, fleet: undefined, ...content })
    return sendToHosts(socket, receivers, bytes)
  }
}
