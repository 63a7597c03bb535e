import { putBounded } from '../../request/putBounded.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import { MAX_STATE_AGE_SHARE } from '../fleet/maxStateAgeShare.js'
import { LiveHosts } from './liveHosts.js'
import { LostHosts } from './lostHosts.js'
import type { PeerReport } from './peerReport.js'
import type { PeerState } from './peerState.js'
import type { RegionDemand } from './regionDemand.js'
import type { ServiceDemand } from './serviceDemand.js'

/** Maximum age of a reported demand, in milliseconds. Other regions report theirs every two seconds. */
const DEMAND_MAX_AGE_MS = 6_000

/**
 * Minimum hosts of a region at which hosts that aren't watchers rely on the watchers for changes of the store. In smaller regions each
 * host watches the store itself: the calls are few, and its own watch reports changes sooner.
 */
const MIN_HOSTS_TO_RELY_ON_WATCHERS = 8
/** Age of the first watcher's state, in milliseconds, above which the second watcher relays changes. */
const RELAY_TIMEOUT_MS = 2_500

/** Maximum senders kept (twice the hosts of the largest fleet) and regions kept. Anybody can send reports with made-up names. */
const MAX_PEERS = 10_000
const MAX_REGIONS = 100

const NO_COUNTS: ReadonlyMap<number, number> = new Map()
const NO_DEMANDS: readonly ServiceDemand[] = []

interface RegionReport {
  receivedAt: number
  demands: readonly ServiceDemand[]
  /** The lowest revision in force among the region's hosts. */
  declaredRevision: number
}

/** State of the other hosts as this host knows it, from their entries in the store and from their reports. */
export class PeerView {
  /** Time at which the last report of any peer was received, in monotonic milliseconds; undefined before the first. */
  lastReportAt: number | undefined
  private readonly peers = new Map<string, PeerState>()
  private readonly regions = new Map<string, RegionReport>()
  private readonly live: LiveHosts
  private readonly lost: LostHosts

  constructor (private readonly own: HostEntry, private readonly fleet: FleetState) {
    this.live = new LiveHosts(own, fleet, this.peers)
    this.lost = new LostHosts(fleet)
  }

  /** Applies a report. Returns false, and ignores the report, if it is no newer than the last one of the sender's incarnation. */
  receiveReport (report: PeerReport, now: number): boolean {
    const known = this.peers.get(report.host)
    if (known !== undefined && known.incarnation === report.incarnation && report.sequence <= known.sequence) return false
    this.lastReportAt = now
    this.live.observeReport(known, report, now)
    if (report.isRegional) putBounded(this.regions, report.region, { receivedAt: now, demands: report.demands, declaredRevision: report.declaredRevision }, MAX_REGIONS)
    const isOwnDemand = !report.isRegional && report.demands.length > 0
    const demands = isOwnDemand ? report.demands : known?.demands ?? NO_DEMANDS
    putBounded(this.peers, report.host, { incarnation: report.incarnation, sequence: report.sequence, receivedAt: now, report, demands }, MAX_PEERS)
    return true
  }

  /** Applies what a representative of another region reports of the hosts there. */
  receiveSilentHosts ({ region, silentHosts }: Pick<PeerReport, 'region' | 'silentHosts'>, now: number): void {
    this.live.receiveSilentHosts(region, silentHosts, now)
  }

  /** Returns the hashes of the incarnations of the hosts of this region that have an entry and aren't live. */
  listSilentHosts (now: number): readonly number[] {
    return this.live.findLists(now).silentHosts
  }

  /** Returns the requests in progress at targets from a host's last report; empty if there is none. */
  findInFlightCounts (host: string): ReadonlyMap<number, number> {
    return this.peers.get(host)?.report.inFlight ?? NO_COUNTS
  }

  /** Returns the hashes of the names of availability zones to whose targets a host has lost its links, as it last reported. */
  findLostZones (host: string): readonly number[] {
    return this.peers.get(host)?.report.lostZones ?? []
  }

  /** Returns the number of senders whose last report is kept. */
  countKnownSenders (): number {
    return this.peers.size
  }

  /** Returns the demands of the other hosts of this region, and those of each other region as a whole. */
  listDemands (now: number): RegionDemand[] {
    const isFresh = ({ receivedAt }: { receivedAt: number }): boolean => now - receivedAt <= DEMAND_MAX_AGE_MS
    const regionPeers = [...this.peers.values()].filter((peer) => isFresh(peer) && peer.report.region === this.own.region)
    const otherRegions = [...this.regions].filter(([region, regionReport]) => isFresh(regionReport) && region !== this.own.region)
    return [
      ...regionPeers.flatMap(({ report, demands }) => demands.map((demand) => ({ region: report.region, demand }))),
      ...otherRegions.flatMap(([region, { demands }]) => demands.map((demand) => ({ region, demand })))
    ]
  }

  /**
   * Returns the hosts that serve callers, including this one. Hosts of other regions send few reports and are judged by their entries and
   * by what their regions report.
   */
  listLive (now: number): readonly HostEntry[] {
    return this.live.findLists(now).live
  }

  /**
   * Returns the lowest revision of the operators' resources in force among the peers of this region with recent reports; Infinity if
   * there are none.
   */
  findLowestDeclaredRevision (now: number): number {
    const regionHosts = this.live.listRegionHosts().filter((entry) => this.live.hasRecentReport(entry, now))
    return regionHosts.reduce((lowest, { name }) => Math.min(lowest, this.peers.get(name)?.report.declaredRevision ?? Infinity), Infinity)
  }

  /**
   * Returns the last known state of another host: from the report of its region if that is another region and has reported, else its
   * own report.
   */
  findLastReport (entry: HostEntry): { receivedAt: number, isLeaving: boolean, declaredRevision: number } | undefined {
    const peer = this.peers.get(entry.name)
    const regionReport = entry.region === this.own.region ? undefined : this.regions.get(entry.region)
    if (regionReport !== undefined) return { receivedAt: regionReport.receivedAt, isLeaving: peer?.report.isLeaving === true && peer.incarnation === entry.incarnation, declaredRevision: regionReport.declaredRevision }
    return peer === undefined ? undefined : { receivedAt: peer.receivedAt, isLeaving: peer.report.isLeaving, declaredRevision: peer.report.declaredRevision }
  }

  /** Returns the number of hosts that may send requests, including those that may have exited; undefined until all hosts are known. */
  countHosts (): number | undefined {
    return this.fleet.isComplete ? Math.max(1, this.fleet.listHosts().length) : undefined
  }

  /** Returns the number of hosts, including those whose entries were removed without an announcement, as they may only be cut off. */
  countPossibleHosts (now: number): number {
    return Math.max(1, this.fleet.listHosts().length) + this.lost.count(now)
  }

  /** Registers that a host's entry was removed from the store. */
  observeEntryRemoved ({ name, incarnation }: HostEntry, now: number): void {
    const peer = this.peers.get(name)
    const hasLeft = peer?.incarnation === incarnation && peer.report.isLeaving
    if (!hasLeft) this.lost.add(name, now)
  }

  /** Returns the availability zones that have live hosts. */
  listZones (now: number): string[] {
    return [...this.live.findLists(now).aggregators.keys()]
  }

  /** Returns the aggregators of an availability zone. Hosts that know the same live hosts choose the same aggregators. */
  listAggregators (availabilityZone: string, now: number): readonly HostEntry[] {
    return this.live.findLists(now).aggregators.get(availabilityZone) ?? []
  }

  /** Returns the aggregators of the other availability zones. */
  listRemoteAggregators (now: number): readonly HostEntry[] {
    return this.listZones(now).filter((zone) => zone !== this.own.availabilityZone).flatMap((zone) => this.listAggregators(zone, now))
  }

  /** Returns the other live hosts of this host's availability zone. */
  listZonePeers (now: number): readonly HostEntry[] {
    return this.listLive(now).filter(({ name, availabilityZone }) => availabilityZone === this.own.availabilityZone && name !== this.own.name)
  }

  /**
   * Returns the entry of the peer that sent a report; undefined if the report isn't of the peer's current incarnation or didn't come from
   * its address, as anybody can send to the port.
   */
  findSender (report: Pick<PeerReport, 'host' | 'incarnation'>, ip: string): HostEntry | undefined {
    const entry = this.fleet.findHost(report.host)
    return this.isFromKnownAddress(report, ip) && entry?.incarnation === report.incarnation ? entry : undefined
  }

  /**
   * Returns whether a report came from the address of the host that it names, of whatever incarnation: the entry of one that has just
   * started may be among the changes that this host lacks.
   */
  isFromKnownAddress ({ host }: Pick<PeerReport, 'host'>, ip: string): boolean {
    return host !== this.own.name && this.fleet.findHost(host)?.ip === ip
  }

  /** Returns whether this host is an aggregator of its zone. */
  isAggregator (now: number): boolean {
    return this.listAggregators(this.own.availabilityZone, now).some(({ name }) => name === this.own.name)
  }

  /** Returns the number of hosts of this region; undefined until all hosts are known. */
  countRegionHosts (): number | undefined {
    return this.fleet.isComplete ? Math.max(1, this.live.listRegionHosts().length) : undefined
  }

  /** Returns the names of the hosts that send requests to a region's targets: the hosts of the region, or all hosts if it has none. */
  listSenders (region: string, now: number): readonly string[] | undefined {
    if (!this.fleet.isComplete) return undefined
    const { live, senders } = this.live.findLists(now)
    const known = senders.get(region)
    if (known !== undefined) return known
    const inRegion = live.filter((entry) => entry.region === region)
    const names = (inRegion.length > 0 ? inRegion : live).map((entry) => entry.name)
    senders.set(region, names)
    return names
  }

  /** Returns whether this host is a representative of its region, or receives no reports from any other host of the region. */
  isRepresentative (now: number): boolean {
    if (!this.live.hasRecentReportInRegion(now)) return true
    return this.listRepresentatives(now).includes(this.own.name)
  }

  /**
   * Returns whether a report is from a host that watches the store for this region. Anybody can send to the port, and the changes that
   * a watcher relays decide where requests are sent. The report must therefore be of the watcher's current incarnation and come from
   * its own address or that of a host of this region, which may have forwarded it.
   */
  isReportFromWatcher ({ host, incarnation }: PeerReport, ip: string, now: number): boolean {
    const { representatives, regionAddresses } = this.live.findLists(now)
    return representatives.includes(host) && this.fleet.findHost(host)?.incarnation === incarnation && regionAddresses.has(ip)
  }

  /**
   * Returns whether this host relays changes: it is the first watcher, or the second while the first sends no reports, doesn't reach
   * the store or has not noticed that the store has returned from a copy. If both relayed changes all the time, half of the datagrams
   * would be superfluous.
   */
  isRelay (now: number): boolean {
    const [first] = this.listRepresentatives(now)
    if (first === undefined || first === this.own.name) return true
    const peer = this.peers.get(first)
    return peer === undefined || this.isOfEarlierEra(peer.report) || now - peer.receivedAt + peer.report.storeAgeMs > RELAY_TIMEOUT_MS
  }

  /** Returns whether this region has so many hosts that those that aren't watchers rely on the watchers. */
  isLargeRegion (): boolean {
    return this.live.listRegionHosts().length >= MIN_HOSTS_TO_RELY_ON_WATCHERS
  }

  /**
   * Returns whether this host may rely on the watchers of its region instead of watching the store itself: at least one has reported
   * recently, and the store has confirmed its state recently, in the era of this host's state or a later one. Changes that a watcher relays
   * are accepted only from the incarnation that this host knows.
   *
   * @param boundMs time within which this host must know of a change
   */
  hasReliableWatchers (boundMs: number, now: number): boolean {
    if (!this.isLargeRegion()) return false
    const representatives = this.listRepresentatives(now)
    if (representatives.includes(this.own.name)) return false
    return representatives.some((name) => {
      const peer = this.peers.get(name)
      return peer !== undefined && peer.incarnation === this.fleet.findHost(name)?.incarnation && !this.isOfEarlierEra(peer.report) && now - peer.receivedAt + peer.report.storeAgeMs <= boundMs * MAX_STATE_AGE_SHARE
    })
  }

  private isOfEarlierEra ({ storePosition }: PeerReport): boolean {
    return storePosition.era < this.fleet.storePosition.era
  }

  private listRepresentatives (now: number): readonly string[] {
    return this.live.findLists(now).representatives
  }
}
