import type { HostEntry } from '../fleet/hostEntry.js'
import { DATAGRAM_OVERHEAD } from '../peers/datagramOverhead.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { PeerView } from '../peers/peerView.js'
import type { Allowances } from './allowances.js'
import { encodeUseReport } from './encodeUseReport.js'
import type { UseReport } from './useReport.js'

/** Milliseconds between reports. Requests that a host admits within one interval are not yet known to any other host. */
const REPORT_MS = 250
/** Milliseconds between reports while no counts have changed. They are still sent, so that peers know that this host is running. */
const CALM_REPORT_MS = 500
/** Maximum bytes per second that a host sends in these reports, out of 12 KB per second for all its control traffic. */
const BYTES_PER_SECOND = 9_000

interface ExchangeParts {
  own: HostEntry
  view: PeerView
  allowances: Allowances
  socket: PeerSocket
  getNow: () => number
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
}

/**
 * Sends this host's counts of organisations' requests to the aggregators of its zone and applies the reports that it receives. If this
 * host is an aggregator itself, it also sends its zone's sum to the other zones and the sum of all zones to the hosts of its zone.
 */
export class UseExchange {
  private sequence = 0
  private calmSentAt = -Infinity

  constructor (private readonly parts: ExchangeParts) {}

  /** Sends reports until the signal aborts. The interval grows with the number of receivers, which keeps the bytes per second bounded. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const bytes = this.parts.allowances.areNeeded ? this.sendRound() : 0
      // The interval is the same while no organisation has a limit. A host that has just started learns of the limits a moment later;
      // with a longer interval it would admit requests meanwhile that no other host knows of.
      await this.parts.sleep(Math.max(REPORT_MS, bytes / BYTES_PER_SECOND * 1_000), signal)
    }
  }

  /**
   * Applies a report if its sender is a known host of the zone that it names. Reports decide which requests are refused, so others are
   * ignored.
   */
  handleReport (report: UseReport, ip: string): void {
    const { view, allowances, getNow } = this.parts
    if (view.findSender(report, ip)?.availabilityZone === report.availabilityZone) allowances.hear(report, getNow())
  }

  private sendRound (): number {
    const { own, view, allowances, getNow } = this.parts
    const now = getNow()
    const isCalmOver = now - this.calmSentAt >= CALM_REPORT_MS
    if (isCalmOver) this.calmSentAt = now
    const totals = allowances.takeTotals()
    const bytes = totals.size > 0 || isCalmOver ? this.send(view.listSumming(own.availabilityZone, now), { totals }) : 0
    return view.isSumming(now) ? bytes + this.sendSums(isCalmOver, now) : bytes
  }

  private sendSums (isCalmOver: boolean, now: number): number {
    const { view, allowances } = this.parts
    const zone = allowances.describeZone(now)
    const fleet = allowances.describeFleet(zone, now)
    if (fleet.uses.size === 0 && !isCalmOver) return 0
    return this.send(view.listFarSumming(now), { zone }) + this.send(view.listZonePeers(now), { fleet })
  }

  /** Sends one report to all given hosts but this one, and returns the bytes sent, headers included. */
  private send (entries: readonly HostEntry[], content: Partial<UseReport>): number {
    const { own, socket } = this.parts
    const receivers = entries.filter(({ name }) => name !== own.name)
    if (receivers.length === 0) return 0
    this.sequence += 1
    const bytes = encodeUseReport({ host: own.name, incarnation: own.incarnation, availabilityZone: own.availabilityZone, sequence: this.sequence, totals: new Map(), zone: undefined, fleet: undefined, ...content })
    for (const { ip, peerPort } of receivers) socket.send(bytes, ip, peerPort)
    return receivers.length * (bytes.byteLength + DATAGRAM_OVERHEAD)
  }
}
