import type { HostEntry } from '../fleet/hostEntry.js'
import { DATAGRAM_OVERHEAD } from '../peers/datagramOverhead.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { PeerView } from '../peers/peerView.js'
import { encodeSuspectReport } from './encodeSuspectReport.js'
import type { Suspect } from './suspect.js'
import type { SuspectReport } from './suspectReport.js'
import type { SuspectState } from './suspectState.js'

/** Milliseconds in which news gathers before it is sent: a target that ends has several requests. */
const GATHER_MS = 10
/** How often each news is sent, as datagrams are lost, and the milliseconds in between. */
const SENDS = 3
const REPEAT_MS = 400
/** Suspects in one datagram, so that it isn't cut up on its way. */
const MOST_IN_REPORT = 8
/** Bytes a second that a host may spend on these reports, of the 12 KB a second for all its control traffic. */
const BYTES_PER_SECOND = 9_000

interface ExchangeParts {
  own: HostEntry
  view: PeerView
  socket: PeerSocket
  getNow: () => number
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
  /** Takes in a word; false where nothing of it is new. */
  hear: (word: SuspectState, now: number) => boolean
}

/** Tells all hosts of requests under which targets ended, at once and over the hosts that sum up for their availability zones. */
export class SuspectExchange {
  private readonly sendsLeft = new Map<Suspect, number>()
  private isSending = false
  private news = new AbortController()

  constructor (private readonly parts: ExchangeParts, private readonly signal: AbortSignal) {}

  /** Sends what is known of a suspect to all hosts, a few times. */
  announce (suspect: Suspect): void {
    this.sendsLeft.set(suspect, SENDS)
    this.news.abort()
    if (!this.isSending) void this.sendAll()
  }

  /** It counts only in the sender's present life and from its address: what is said here decides who is refused. */
  handleReport (report: SuspectReport, ip: string): void {
    const { view, hear, getNow } = this.parts
    if (view.findSender(report, ip) === undefined) return
    const now = getNow()
    const news = report.suspects.filter((state) => hear(state, now))
    if (news.length > 0 && report.passesOn) this.send(view.listZonePeers(now).filter(({ name }) => name !== report.host), news, false)
  }

  private async sendAll (): Promise<void> {
    const { sleep } = this.parts
    this.isSending = true
    while (this.sendsLeft.size > 0) {
      await sleep(GATHER_MS, this.signal)
      if (this.signal.aborted) return
      this.news = new AbortController()
      const bytes = this.sendRound()
      await sleep(bytes / BYTES_PER_SECOND * 1_000, this.signal)
      if (!this.hasUnsent()) await sleep(REPEAT_MS, AbortSignal.any([this.signal, this.news.signal]))
    }
    this.isSending = false
  }

  private sendRound (): number {
    const due = [...this.sendsLeft.keys()].slice(0, MOST_IN_REPORT)
    for (const suspect of due) this.countSend(suspect)
    return this.sendToAll(due.map((suspect) => suspect.describe()), this.parts.getNow())
  }

  // What was sent goes behind what wasn't.
  private countSend (suspect: Suspect): void {
    const left = (this.sendsLeft.get(suspect) ?? 0) - 1
    this.sendsLeft.delete(suspect)
    if (left > 0) this.sendsLeft.set(suspect, left)
  }

  private hasUnsent (): boolean {
    return [...this.sendsLeft.values()].includes(SENDS)
  }

  private sendToAll (states: readonly SuspectState[], now: number): number {
    const { view } = this.parts
    return this.send(view.listZonePeers(now), states, false) + this.send(view.listFarSumming(now), states, true)
  }

  /** Returns the bytes that it takes. */
  private send (receivers: readonly HostEntry[], suspects: readonly SuspectState[], passesOn: boolean): number {
    const { own, socket } = this.parts
    if (receivers.length === 0) return 0
    const bytes = encodeSuspectReport({ host: own.name, incarnation: own.incarnation, suspects, passesOn })
    for (const { ip, peerPort } of receivers) socket.send(bytes, ip, peerPort)
    return receivers.length * (bytes.byteLength + DATAGRAM_OVERHEAD)
  }
}
