import { computeHash } from '../../version/computeHash.js'
import type { ForwardState } from '../forward/forwardState.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { RelayedChanges } from '../fleet/relayedChanges.js'
import type { StorePosition } from '../store/storePosition.js'
import { computeMeanTimes } from './computeMeanTimes.js'
import { encodeLoadReport } from './encodeLoadReport.js'
import type { PeerReport } from './peerReport.js'
import type { PeerSocket } from './peerSocket.js'
import type { PeerView } from './peerView.js'
import { sendToHosts } from './sendToHosts.js'
import type { ServiceDemand } from './serviceDemand.js'
import { splitChanges } from './splitChanges.js'

/** Milliseconds between reports to the hosts of the same region. */
const OWN_REGION_INTERVAL_MS = 100
/** Milliseconds between reports that also carry demands, to the same hosts. */
const DEMAND_INTERVAL_MS = 1_000
/** The same interval in large regions, where demands cause most of the work of reading reports. */
const LARGE_REGION_DEMAND_INTERVAL_MS = 2_000
/** Milliseconds between the reports that a region's representatives send to all hosts of the other regions. */
const OTHER_REGIONS_INTERVAL_MS = 2_000
/** Maximum bytes per second that a host sends in reports, out of 12 KB per second for all its control traffic. */
const MAX_BYTES_PER_SECOND = 9_000
/** Maximum age that is reported, in milliseconds; larger ages make no difference to receivers. */
const MAX_AGE_MS = 3_600_000
/**
 * Maximum bytes of changes in one datagram. Longer datagrams are fragmented on the way, and the loss of one fragment loses the whole
 * datagram. Receivers then ask the store for the changes, as they do for a change that is too large for any datagram.
 */
const MAX_CHANGE_BYTES = 8_000
/**
 * The same for a change that alone is longer than that, such as a configuration with many new routes. Most hosts get it, and need not all
 * read it from the store at once. A datagram can't be longer than 64 KiB.
 */
const MAX_LARGE_CHANGE_BYTES = 60_000
/**
 * Hosts in a group. A watcher sends changes only to the first host of each group, which forwards them, because the watcher's link is
 * small.
 */
const GROUP_SIZE = 8

interface ExchangeParts {
  own: HostEntry
  fleet: FleetState
  forward: ForwardState
  view: PeerView
  socket: PeerSocket
  getNow: () => number
  /** Resolves after `ms` milliseconds, or when the signal aborts. */
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
  isLeaving: () => boolean
  /** Availability zones to whose targets this host has lost its links. */
  listLostZones: () => string[]
  /** Revision of the operators' resources in force here. */
  getDeclaredRevision: () => number
  /** Called with the position of the store that a peer knows, and with that of the last change that affects its decisions. */
  receivePosition: (position: StorePosition, notablePosition: StorePosition, now: number) => void
  /** Called with the time at which the store last answered a peer. */
  observeStoreContact: (at: number) => void
  /** Called with changes that a watcher of this region relays. */
  acceptRelayedChanges: (changes: RelayedChanges) => void
  /** Called with a report of a watcher of this region that contains no changes. */
  receiveWatcherReport: (report: PeerReport, now: number) => void
}

type ReportContent = Pick<PeerReport, 'isRegional' | 'demands' | 'silentHosts' | 'declaredRevision' | 'requestLimits' | 'leavingTargets' | 'changes'>

/** Content of a report that only tells the state of its sender. */
const PLAIN_CONTENT: Omit<ReportContent, 'declaredRevision'> = { isRegional: false, demands: [], silentHosts: [], requestLimits: [], leavingTargets: [], changes: undefined }

/** Sends load reports to the other hosts, applies the reports received from them, and relays changes of the store within the region. */
export class PeerExchange {
  private sequence = 0
  private demandsSentAt = -Infinity
  private regionalReportSentAt = -Infinity

  constructor (private readonly parts: ExchangeParts) {}

  /** Sends reports until the signal aborts. The interval grows with the number of peers, which keeps the bytes per second bounded. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const bytes = this.sendRound()
      const pauseMs = Math.max(OWN_REGION_INTERVAL_MS, bytes / MAX_BYTES_PER_SECOND * 1_000)
      await this.parts.sleep(pauseMs, signal)
    }
  }

  /**
   * Applies a report, and forwards the changes in it if its sender is a watcher that asks for this.
   *
   * @param ip address from which the report was sent
   */
  handleReport (report: PeerReport, ip: string): void {
    const { own, fleet, view, getNow, receivePosition } = this.parts
    if (report.host === own.name) return
    const now = getNow()
    const isWatcher = report.region === own.region && view.isReportFromWatcher(report, ip, now)
    // Changes are accepted even in a report that arrives after a newer one, because their revisions define their order.
    if (isWatcher && report.changes !== undefined) {
      this.parts.acceptRelayedChanges(report.changes)
      this.forwardChanges(report, report.changes)
    }
    const previousCounts = view.findInFlightCounts(report.host)
    if (!view.receiveReport(report, now)) return
    if (view.isFromKnownAddress(report, ip)) {
      receivePosition(report.storePosition, report.notablePosition, now)
      fleet.receivePeerVersion(report.configurationVersion, now)
      fleet.receivePeerConfirmation(report.notablePosition, now - report.storeAgeMs)
      this.parts.observeStoreContact(now - report.storeAgeMs)
    }
    if (report.isRegional && view.findSender(report, ip)?.region === report.region) view.receiveSilentHosts(report, now)
    if (report.region !== own.region) return
    this.updateInFlightCounts(report, previousCounts, now)
    const hasAnnouncements = report.requestLimits.length > 0 || report.leavingTargets.length > 0
    if (hasAnnouncements && view.findSender(report, ip) !== undefined) this.receiveAnnouncements(report, now)
    if (isWatcher && report.changes === undefined) this.parts.receiveWatcherReport(report, now)
  }

  /** Sends changes of the store to the other hosts of the region. */
  relay (changes: RelayedChanges): void {
    const groups = splitGroups(this.listPeers(({ region }) => region === this.parts.own.region), GROUP_SIZE)
    // Built only once: building it for each of dozens of datagrams would iterate over all targets each time.
    const report = this.buildReport({ ...PLAIN_CONTENT, declaredRevision: this.parts.getDeclaredRevision() })
    for (const chunk of splitChanges(changes, MAX_CHANGE_BYTES, MAX_LARGE_CHANGE_BYTES)) {
      for (const [first, ...others] of groups) {
        const forwardTo = others.map(({ name }) => name)
        if (first !== undefined) this.send([first], { ...report, changes: { ...chunk, forwardTo } })
      }
    }
    // Large datagrams are lost often, and changes may be too large for any. Hosts would learn only with the next round of reports that
    // they have to request them from the store.
    if (splitChanges(changes, MAX_CHANGE_BYTES).at(-1)?.upTo !== changes.upTo) this.send(groups.flat(), report)
  }

  private forwardChanges (report: PeerReport, { forwardTo, ...changes }: RelayedChanges): void {
    if (forwardTo.length === 0) return
    const bytes = encodeLoadReport({ ...report, changes: { ...changes, forwardTo: [] } })
    for (const name of forwardTo.slice(0, GROUP_SIZE)) {
      const entry = this.parts.fleet.findHost(name)
      if (entry !== undefined) this.parts.socket.send(bytes, entry.ip, entry.peerPort)
    }
  }

  /** Updates the peer's counts at targets. Only targets in this report or the previous one are visited, not all targets. */
  private updateInFlightCounts ({ host, inFlight }: PeerReport, previous: ReadonlyMap<number, number>, now: number): void {
    const { fleet } = this.parts
    for (const hash of previous.keys()) {
      if (!inFlight.has(hash)) fleet.findIncarnation(hash)?.receivePeerCount(host, 0, now)
    }
    for (const [hash, count] of inFlight) fleet.findIncarnation(hash)?.receivePeerCount(host, count, now)
  }

  private receiveAnnouncements ({ host, requestLimits, leavingTargets }: PeerReport, now: number): void {
    const { fleet, forward } = this.parts
    for (const incarnationHash of leavingTargets) {
      const target = fleet.findIncarnation(incarnationHash)
      if (target !== undefined) forward.announcements.departures.observe(target, { peer: host }, now)
    }
    for (const limit of requestLimits) {
      const target = fleet.findIncarnation(limit.incarnationHash)
      if (target !== undefined) forward.announcements.limits.receive(target, limit, host, now)
    }
  }

  /** Sends a report to every host immediately, for example when this host is about to leave. */
  announce (): void {
    this.sendTo(() => true, { ...PLAIN_CONTENT, declaredRevision: this.parts.getDeclaredRevision() })
  }

  private sendRound (): number {
    const { own, forward, view, getNow, getDeclaredRevision } = this.parts
    const now = getNow()
    const declaredRevision = getDeclaredRevision()
    const withDemands = now - this.demandsSentAt >= (view.isLargeRegion() ? LARGE_REGION_DEMAND_INTERVAL_MS : DEMAND_INTERVAL_MS)
    if (withDemands) this.demandsSentAt = now
    const bytes = this.sendTo((entry) => entry.region === own.region, { ...PLAIN_CONTENT, demands: withDemands ? this.listOwnDemands(now) : [], declaredRevision, requestLimits: forward.announcements.limits.takeReports(now), leavingTargets: forward.announcements.departures.takeReports(now) })
    if (now - this.regionalReportSentAt < OTHER_REGIONS_INTERVAL_MS || !view.isRepresentative(now)) return bytes
    this.regionalReportSentAt = now
    return bytes + this.sendTo((entry) => entry.region !== own.region, { ...PLAIN_CONTENT, isRegional: true, demands: this.sumDemands(now), silentHosts: view.listSilentHosts(now), declaredRevision: Math.min(declaredRevision, view.findLowestDeclaredRevision(now)) })
  }

  private listOwnDemands (now: number): ServiceDemand[] {
    return [...this.parts.forward.listRuntimes()].map((runtime) => runtime.describeDemand(now))
  }

  /** Returns the demands of all hosts of this region together. */
  private sumDemands (now: number): ServiceDemand[] {
    const { own, view } = this.parts
    const regionDemands = view.listDemands(now).filter(({ region }) => region === own.region).map(({ demand }) => demand)
    const sums = new Map<string, ServiceDemand>()
    for (const demand of [...this.listOwnDemands(now), ...regionDemands]) sums.set(demand.service, addDemands(sums.get(demand.service), demand))
    return [...sums.values()]
  }

  private sendTo (isReceiver: (entry: HostEntry) => boolean, content: ReportContent): number {
    const receivers = this.listPeers(isReceiver)
    return receivers.length === 0 ? 0 : this.send(receivers, this.buildReport(content))
  }

  private listPeers (isReceiver: (entry: HostEntry) => boolean): HostEntry[] {
    const { own, fleet } = this.parts
    return fleet.listHosts().filter((entry) => entry.name !== own.name && isReceiver(entry))
  }

  /** Sends a report to the given hosts and returns the bytes sent, headers included. */
  private send (receivers: readonly HostEntry[], report: Omit<PeerReport, 'sequence'>): number {
    this.sequence += 1
    const bytes = encodeLoadReport({ ...report, sequence: this.sequence })
    return sendToHosts(this.parts.socket, receivers, bytes)
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
      storePosition: fleet.storePosition,
      notablePosition: fleet.notablePosition,
      storeAgeMs: Math.round(Math.min(MAX_AGE_MS, getNow() - (fleet.confirmedAt ?? -Infinity))),
      lostZones: this.parts.listLostZones().map(computeHash),
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
