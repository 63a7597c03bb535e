import type { HostEntry } from '../fleet/hostEntry.js'
import { DATAGRAM_OVERHEAD } from '../peers/datagramOverhead.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { PeerView } from '../peers/peerView.js'
import type { Allowances } from './allowances.js'
import { encodeUseReport } from './encodeUseReport.js'
import type { UseReport } from './useReport.js'

/** Milliseconds between reports: what all hosts let through in this time is known to none of the others. */
const REPORT_MS = 250
/** The same where there is nothing to tell: others still have to know that this host is there. */
const CALM_REPORT_MS = 500
/** Bytes a second that a host may spend on these reports, of the 12 KB a second for all its control traffic. */
const BYTES_PER_SECOND = 9_000

interface ExchangeParts {
  own: HostEntry
  view: PeerView
  allowances: Allowances
  socket: PeerSocket
  getNow: () => number
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
}

/** Tells the other hosts what came to this one of the organisations' requests, sums up where this host does so for its zone, and takes in what they tell. */
export class UseExchange {
  private sequence = 0
  private calmSentAt = -Infinity

  constructor (private readonly parts: ExchangeParts) {}

  /** Sends reports until the signal aborts; the more receivers there are, the longer the pause, so that the bytes a second stay bounded. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const bytes = this.parts.allowances.areNeeded ? this.sendRound() : 0
      // Also where there are no limits yet: a host that has just started learns of them a moment later, and with a longer pause
      // lets all through by itself while nobody hears of it.
      await this.parts.sleep(Math.max(REPORT_MS, bytes / BYTES_PER_SECOND * 1_000), signal)
    }
  }

  /** What is said here decides who is refused: it counts only from a host, of its own zone. */
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

  /** Returns the bytes that it takes. */
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
