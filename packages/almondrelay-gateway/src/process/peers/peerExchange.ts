import { sleepFor } from 'almondrelay'
import type { ForwardState } from '../forward/forwardState.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { RelayedChanges } from '../fleet/relayedChanges.js'
import { computeMeanTimes } from './computeMeanTimes.js'
import { DATAGRAM_OVERHEAD } from './datagramOverhead.js'
import { encodeReport } from './encodeReport.js'
import type { PeerReport } from './peerReport.js'
import type { PeerSocket } from './peerSocket.js'
import type { PeerView } from './peerView.js'
import type { ServiceDemand } from './serviceDemand.js'
import { splitChanges } from './splitChanges.js'

/** Milliseconds between reports to the hosts of the same region. */
const NEAR_INTERVAL_MS = 100
/** Milliseconds between reports that also carry demands, to the same hosts. */
const DEMAND_INTERVAL_MS = 1_000
/** The same in regions of many hosts, where demands are most of what reading reports takes. */
const MANY_DEMAND_INTERVAL_MS = 2_000
/** Milliseconds between the words of a region's speakers to all hosts of the others. */
const FAR_INTERVAL_MS = 2_000
/** Bytes a second that a host may spend on reports, of the 12 KB a second for all its control traffic. */
const BYTES_PER_SECOND = 9_000
/** Milliseconds above which an age says nothing more. */
const LONGEST_AGE_MS = 3_600_000
/**
 * Bytes of changes in one datagram. Longer ones are cut up on the way, and with one part all of it is lost; then the receiver
 * asks the store, as for a change that fits into none.
 */
const MOST_CHANGE_BYTES = 8_000
/** Hosts in a group, of which the first gets changes from the watcher and passes them on: a watcher's own link is small. */
const GROUP_SIZE = 8

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
  /** Called with changes that a host which watches the store for this region hands on. */
  acceptRelayed: (changes: RelayedChanges) => void
  /** Called with the word of such a host on what it knows. */
  hearWatcher: (report: PeerReport, now: number) => void
}

type ReportContent = Pick<PeerReport, 'isRegional' | 'demands' | 'declaredRevision' | 'changes'>

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

  /** @param ip address from which it came */
  handleReport (report: PeerReport, ip: string): void {
    const { own, fleet, view, getNow, hearRevision } = this.parts
    if (report.host === own.name) return
    const now = getNow()
    const isWatcher = report.region === own.region && view.isWatcher(report, ip, now)
    // Changes count also in a report that came behind a later one: their revisions tell their order.
    if (isWatcher && report.changes !== undefined) {
      this.parts.acceptRelayed(report.changes)
      this.passOn(report, report.changes)
    }
    const countsBefore = view.findCounts(report.host)
    if (!view.hear(report, now)) return
    hearRevision(report.storeRevision, report.notableRevision, now)
    fleet.hearConfirmation(report.notableRevision, now - report.storeAgeMs)
    if (report.region !== own.region) return
    this.hearCounts(report, countsBefore, now)
    if (isWatcher && report.changes === undefined) this.parts.hearWatcher(report, now)
  }

  /** Hands changes of the store on to the other hosts of the region. */
  relay (changes: RelayedChanges): void {
    const groups = splitGroups(this.listOthers(({ region }) => region === this.parts.own.region), GROUP_SIZE)
    // Built once: for each of its dozens of datagrams anew, a watcher would go through all targets as often.
    const report = this.buildReport({ isRegional: false, demands: [], declaredRevision: this.parts.getDeclaredRevision(), changes: undefined })
    for (const part of splitChanges(changes, MOST_CHANGE_BYTES)) {
      for (const [head, ...others] of groups) {
        const forwardTo = others.map(({ name }) => name)
        if (head !== undefined) this.send([head], { ...report, changes: { ...part, forwardTo } })
      }
    }
  }

  private passOn (report: PeerReport, { forwardTo, ...changes }: RelayedChanges): void {
    if (forwardTo.length === 0) return
    const bytes = encodeReport({ ...report, changes: { ...changes, forwardTo: [] } })
    for (const name of forwardTo.slice(0, GROUP_SIZE)) {
      const entry = this.parts.fleet.findHost(name)
      if (entry !== undefined) this.parts.socket.send(bytes, entry.ip, entry.peerPort)
    }
  }

  /** Works on the targets that this report or the one before names, not on all there are. */
  private hearCounts ({ host, inFlight }: PeerReport, before: ReadonlyMap<number, number>, now: number): void {
    const { fleet } = this.parts
    for (const hash of before.keys()) {
      if (!inFlight.has(hash)) fleet.findIncarnation(hash)?.hearPeerCount(host, 0, now)
    }
    for (const [hash, count] of inFlight) fleet.findIncarnation(hash)?.hearPeerCount(host, count, now)
  }

  /** Sends one report at once to every host, as when this one is about to leave. */
  announce (): void {
    this.sendTo(() => true, { isRegional: false, demands: [], declaredRevision: this.parts.getDeclaredRevision(), changes: undefined })
  }

  private sendRound (): number {
    const { own, view, getNow, getDeclaredRevision } = this.parts
    const now = getNow()
    const declaredRevision = getDeclaredRevision()
    const withDemands = now - this.demandsSentAt >= (view.hasManyNear() ? MANY_DEMAND_INTERVAL_MS : DEMAND_INTERVAL_MS)
    if (withDemands) this.demandsSentAt = now
    const bytes = this.sendTo((entry) => entry.region === own.region, { isRegional: false, demands: withDemands ? this.listOwnDemands(now) : [], declaredRevision, changes: undefined })
    if (now - this.farSentAt < FAR_INTERVAL_MS || !view.isSpeaker(now)) return bytes
    this.farSentAt = now
    return bytes + this.sendTo((entry) => entry.region !== own.region, { isRegional: true, demands: this.sumDemands(now), declaredRevision: Math.min(declaredRevision, view.findLowestDeclared(now)), changes: undefined })
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

  private sendTo (isReceiver: (entry: HostEntry) => boolean, content: ReportContent): number {
    const receivers = this.listOthers(isReceiver)
    return receivers.length === 0 ? 0 : this.send(receivers, this.buildReport(content))
  }

  private listOthers (isReceiver: (entry: HostEntry) => boolean): HostEntry[] {
    const { own, fleet } = this.parts
    return fleet.listHosts().filter((entry) => entry.name !== own.name && isReceiver(entry))
  }

  /** Returns the bytes that it takes. */
  private send (receivers: readonly HostEntry[], report: Omit<PeerReport, 'sequence'>): number {
    this.sequence += 1
    const bytes = encodeReport({ ...report, sequence: this.sequence })
    for (const entry of receivers) this.parts.socket.send(bytes, entry.ip, entry.peerPort)
    return receivers.length * (bytes.byteLength + DATAGRAM_OVERHEAD)
  }

  private buildReport (content: ReportContent): Omit<PeerReport, 'sequence'> {
    const { own, fleet, isLeaving, getNow } = this.parts
    const busy = [...fleet.listAllTargets()].filter((target) => target.inFlight > 0)
    return {
      host: own.name,
      incarnation: own.incarnation,
      region: own.region,
      isLeaving: isLeaving(),
      configurationVersion: fleet.configuration?.version ?? 0,
      storeRevision: fleet.storeRevision,
      notableRevision: fleet.notableRevision,
      storeAgeMs: Math.round(Math.min(LONGEST_AGE_MS, getNow() - (fleet.confirmedAt ?? -Infinity))),
      inFlight: new Map(busy.map((target) => [target.incarnationHash, target.inFlight])),
      ...content
    }
  }
}

const addDemands = (sum: ServiceDemand | undefined, demand: ServiceDemand): ServiceDemand => {
  if (sum === undefined) return { ...demand, parts: new Map() }
  return { ...computeMeanTimes([sum, demand]), service: sum.service, perSecond: sum.perSecond + demand.perSecond, parts: new Map() }
}

const splitGroups = (entries: readonly HostEntry[], size: number): HostEntry[][] =>
  Array.from({ length: Math.ceil(entries.length / size) }, (_, index) => entries.slice(index * size, (index + 1) * size))
