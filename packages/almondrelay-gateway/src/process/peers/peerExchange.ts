import { sleepFor } from 'almondrelay'
import type { ForwardState } from '../forward/forwardState.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import { decodeReport } from './decodeReport.js'
import { encodeReport } from './encodeReport.js'
import type { PeerReport } from './peerReport.js'
import type { PeerSocket } from './peerSocket.js'
import type { PeerView } from './peerView.js'
import type { ServiceDemand } from './serviceDemand.js'

/**
 * Milliseconds between reports to the hosts of the same region. Targets' queues change within tens of
 * milliseconds; half of that interval is the mean age of a count.
 */
const NEAR_INTERVAL_MS = 100
/** Milliseconds between reports that also carry demands, to the same hosts. */
const DEMAND_INTERVAL_MS = 1_000
/** Milliseconds between the words of a region's speakers to all hosts of the others. */
const FAR_INTERVAL_MS = 2_000
/** Bytes a second that a host may spend on reports, of the 12 KB a second for all its control traffic. */
const BYTES_PER_SECOND = 9_000
/** An age above says nothing more: an hour. */
const LONGEST_AGE_MS = 3_600_000
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
  /** Revision of the operators' resources in force here. */
  getDeclaredRevision: () => number
  /** Called with the revision of the store that a peer knows, and with the last one that decides something. */
  hearRevision: (revision: number, notableRevision: number, now: number) => void
}

/** Tells the other hosts what this one has running, and takes in what they tell. */
export class PeerExchange {
  private sequence = 0
  private demandsSentAt = -Infinity
  private farSentAt = -Infinity

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
    this.parts.hearRevision(report.storeRevision, report.notableRevision, now)
    if (report.region !== this.parts.own.region) return
    for (const target of this.parts.fleet.listAllTargets()) target.hearPeerCount(report.host, report.inFlight.get(target.incarnationHash) ?? 0, now)
  }

  /** Sends one report at once to every host, as when this one is about to leave. */
  announce (): void {
    this.sendTo(() => true, { isRegional: false, demands: [], declaredRevision: this.parts.getDeclaredRevision() })
  }

  private sendRound (): number {
    const { own, view, getNow, getDeclaredRevision } = this.parts
    const now = getNow()
    const declaredRevision = getDeclaredRevision()
    const withDemands = now - this.demandsSentAt >= DEMAND_INTERVAL_MS
    if (withDemands) this.demandsSentAt = now
    const bytes = this.sendTo((entry) => entry.region === own.region, { isRegional: false, demands: withDemands ? this.listOwnDemands(now) : [], declaredRevision })
    if (now - this.farSentAt < FAR_INTERVAL_MS || !view.isSpeaker(now)) return bytes
    this.farSentAt = now
    return bytes + this.sendTo((entry) => entry.region !== own.region, { isRegional: true, demands: this.sumDemands(now), declaredRevision: Math.min(declaredRevision, view.findLowestDeclared(now)) })
  }

  private listOwnDemands (now: number): ServiceDemand[] {
    return [...this.parts.forward.listRuntimes()].map((runtime) => runtime.describeDemand(now))
  }

  /** Demands of all hosts of this region together. */
  private sumDemands (now: number): ServiceDemand[] {
    const { own, view } = this.parts
    const near = view.listDemands(now).filter(({ region }) => region === own.region).map(({ demand }) => demand)
    const sums = new Map<string, ServiceDemand>()
    for (const demand of [...this.listOwnDemands(now), ...near]) sums.set(demand.service, addDemands(sums.get(demand.service), demand))
    return [...sums.values()]
  }

  private sendTo (isReceiver: (entry: HostEntry) => boolean, word: Pick<PeerReport, 'isRegional' | 'demands' | 'declaredRevision'>): number {
    const receivers = this.parts.fleet.listHosts().filter((entry) => entry.name !== this.parts.own.name && isReceiver(entry))
    if (receivers.length === 0) return 0
    this.sequence += 1
    const bytes = encodeReport({ ...this.buildReport(), ...word })
    for (const entry of receivers) this.parts.socket.send(bytes, entry.ip, entry.peerPort)
    return receivers.length * (bytes.byteLength + DATAGRAM_OVERHEAD)
  }

  private buildReport (): Omit<PeerReport, 'isRegional' | 'demands' | 'declaredRevision'> {
    const { own, fleet, isLeaving, getNow } = this.parts
    const busy = [...fleet.listAllTargets()].filter((target) => target.inFlight > 0)
    return {
      host: own.name,
      incarnation: own.incarnation,
      region: own.region,
      sequence: this.sequence,
      isLeaving: isLeaving(),
      configurationVersion: fleet.configuration?.version ?? 0,
      storeRevision: fleet.storeRevision,
      notableRevision: fleet.notableRevision,
      storeAgeMs: Math.round(Math.min(LONGEST_AGE_MS, getNow() - (fleet.confirmedAt ?? -Infinity))),
      inFlight: new Map(busy.map((target) => [target.incarnationHash, target.inFlight]))
    }
  }
}

const addDemands = (sum: ServiceDemand | undefined, demand: ServiceDemand): ServiceDemand => {
  if (sum === undefined) return { ...demand, parts: new Map() }
  const perSecond = sum.perSecond + demand.perSecond
  const warmMs = perSecond === 0 ? sum.warmMs : (sum.warmMs * sum.perSecond + demand.warmMs * demand.perSecond) / perSecond
  return { service: sum.service, perSecond, warmMs, parts: new Map() }
}
