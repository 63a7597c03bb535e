import type { HostEntry } from '../fleet/hostEntry.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { PeerView } from '../peers/peerView.js'
import { sendToHosts } from '../peers/sendToHosts.js'
import { encodeSuspectReport } from './encodeSuspectReport.js'
import type { Suspect } from './suspect.js'
import type { SuspectReport } from './suspectReport.js'
import type { SuspectState } from './suspectState.js'

/** Milliseconds for which suspects are collected before they are sent: a target that exits was running several requests. */
const BATCH_DELAY_MS = 10
/** Number of times that each announcement is sent, because datagrams may be lost. */
const SENDS_PER_ANNOUNCEMENT = 3
/** Milliseconds between two sends of an announcement. */
const RESEND_INTERVAL_MS = 400
/** Maximum number of suspects in one datagram, so that it is not fragmented on its way. */
const MAX_SUSPECTS_PER_REPORT = 8
/** Maximum rate of these reports in bytes per second, out of the 12 KB per second for all control traffic of a host. */
const MAX_BYTES_PER_SECOND = 9_000

interface ExchangeParts {
  own: HostEntry
  view: PeerView
  socket: PeerSocket
  getNow: () => number
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
  /** Merges a received state. Returns false if nothing in it is new. */
  receiveState: (state: SuspectState, now: number) => boolean
}

/**
 * Announces suspects to all hosts as soon as they are found: directly to the peers in the same availability zone, and in the other zones
 * to the hosts that aggregate for their zone and pass reports on there.
 */
export class SuspectExchange {
  private readonly sendsLeft = new Map<Suspect, number>()
  private isSending = false
  /** Aborted to end the wait before the next resend as soon as there is a new announcement. */
  private resendWait = new AbortController()

  constructor (private readonly parts: ExchangeParts, private readonly signal: AbortSignal) {}

  /** Sends the state of a suspect to all hosts, several times. */
  announce (suspect: Suspect): void {
    this.sendsLeft.set(suspect, SENDS_PER_ANNOUNCEMENT)
    this.resendWait.abort()
    if (!this.isSending) void this.sendAll()
  }

  /** Handles a report. It counts only from the sender's current incarnation and address, because it decides which callers are refused. */
  handleReport (report: SuspectReport, ip: string): void {
    const { view, receiveState, getNow } = this.parts
    if (view.findSender(report, ip) === undefined) return
    const now = getNow()
    const newStates = report.suspects.filter((state) => receiveState(state, now))
    if (newStates.length > 0 && report.passesOn) this.send(view.listZonePeers(now).filter(({ name }) => name !== report.host), newStates, false)
  }

  private async sendAll (): Promise<void> {
    const { sleep } = this.parts
    this.isSending = true
    while (this.sendsLeft.size > 0) {
      await sleep(BATCH_DELAY_MS, this.signal)
      if (this.signal.aborted) return
      this.resendWait = new AbortController()
      const bytes = this.sendRound()
      await sleep(bytes / MAX_BYTES_PER_SECOND * 1_000, this.signal)
      if (!this.hasUnsent()) await sleep(RESEND_INTERVAL_MS, AbortSignal.any([this.signal, this.resendWait.signal]))
    }
    this.isSending = false
  }

  private sendRound (): number {
    const due = [...this.sendsLeft.keys()].slice(0, MAX_SUSPECTS_PER_REPORT)
    for (const suspect of due) this.countSend(suspect)
    return this.sendToAll(due.map((suspect) => suspect.describe()), this.parts.getNow())
  }

  // Moves a suspect that was sent behind those that were not.
  private countSend (suspect: Suspect): void {
    const left = (this.sendsLeft.get(suspect) ?? 0) - 1
    this.sendsLeft.delete(suspect)
    if (left > 0) this.sendsLeft.set(suspect, left)
  }

  private hasUnsent (): boolean {
    return [...this.sendsLeft.values()].includes(SENDS_PER_ANNOUNCEMENT)
  }

  private sendToAll (states: readonly SuspectState[], now: number): number {
    const { view } = this.parts
    return this.send(view.listZonePeers(now), states, false) + this.send(view.listRemoteAggregators(now), states, true)
  }

  /** Returns the number of bytes sent. */
  private send (receivers: readonly HostEntry[], suspects: readonly SuspectState[], passesOn: boolean): number {
    const { own, socket } = this.parts
    if (receivers.length === 0) return 0
    const bytes = encodeSuspectReport({ host: own.name, incarnation: own.incarnation, suspects, passesOn })
    return sendToHosts(socket, receivers, bytes)
  }
}
