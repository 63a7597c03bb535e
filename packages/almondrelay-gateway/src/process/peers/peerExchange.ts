import { sleepFor } from '../sleepFor.js'
import type { ForwardState } from '../forward/forwardState.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import { decodeReport } from './decodeReport.js'
import { encodeReport } from './encodeReport.js'
import type { PeerReport } from './peerReport.js'
import type { PeerSocket } from './peerSocket.js'
import type { PeerView } from './peerView.js'

/**
 * Milliseconds between reports to the hosts of the same region. Targets' queues change within tens of
 * milliseconds; half of that interval is the mean age of a count.
 */
const NEAR_INTERVAL_MS = 100
/** Rounds between reports to all other hosts, which also carry demands: one each second. */
const FAR_ROUNDS = 10
/** Bytes a second that a host may spend on reports, of the 12 KB a second for all its control traffic. */
const BYTES_PER_SECOND = 9_000
/** Bytes of headers around each datagram. */
const DATAGRAM_OVERHEAD = 28

interface ExchangeParts {
  own: HostEntry
  fleet: FleetState
  forward: ForwardState
  view: PeerView
  socket: PeerSocket
  getNow: () => number
  isLeaving: () => boolean
}

/** Tells the other hosts what this one has running, and takes in what they tell. */
export class PeerExchange {
  private sequence = 0
  private round = 0

  constructor (private readonly parts: ExchangeParts) {}

  /** Sends reports until the signal aborts; the more peers there are, the longer the pause, so that the bytes a second stay bounded. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const bytes = this.sendRound()
      const pauseMs = Math.max(NEAR_INTERVAL_MS, bytes / BYTES_PER_SECOND * 1_000)
      await sleepFor(pauseMs, signal)
    }
  }

  handleDatagram (bytes: Uint8Array): void {
    const report = decodeReport(bytes)
    if (report === undefined || report.host === this.parts.own.name) return
    const now = this.parts.getNow()
    if (!this.parts.view.hear(report, now)) return
    for (const target of this.parts.fleet.listAllTargets()) target.hearPeerCount(report.host, report.inFlight.get(target.hash) ?? 0, now)
  }

  /** Sends one report at once to every host, as when this one is about to leave. */
  announce (): void {
    this.sendTo(() => true, true)
  }

  private sendRound (): number {
    this.round += 1
    const isFar = this.round % FAR_ROUNDS === 0
    const { region } = this.parts.own
    return this.sendTo((entry) => isFar || entry.region === region, isFar)
  }

  private sendTo (isReceiver: (entry: HostEntry) => boolean, withDemands: boolean): number {
    const receivers = this.parts.fleet.listHosts().filter((entry) => entry.name !== this.parts.own.name && isReceiver(entry))
    if (receivers.length === 0) return 0
    this.sequence += 1
    const bytes = encodeReport(this.buildReport(withDemands))
    for (const entry of receivers) this.parts.socket.send(bytes, entry.ip, entry.peerPort)
    return receivers.length * (bytes.byteLength + DATAGRAM_OVERHEAD)
  }

  private buildReport (withDemands: boolean): PeerReport {
    const { own, fleet, forward, getNow, isLeaving } = this.parts
    const now = getNow()
    const busy = [...fleet.listAllTargets()].filter((target) => target.inFlight > 0)
    return {
      host: own.name,
      incarnation: own.incarnation,
      region: own.region,
      sequence: this.sequence,
      isLeaving: isLeaving(),
      configurationVersion: fleet.configuration?.version ?? 0,
      inFlight: new Map(busy.map((target) => [target.hash, target.inFlight])),
      demands: withDemands ? [...forward.listRuntimes()].map((runtime) => runtime.describeDemand(now)) : []
    }
  }
}
