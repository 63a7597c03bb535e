import { putBounded } from '../../request/putBounded.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import { LiveHosts } from './liveHosts.js'
import { LostHosts } from './lostHosts.js'
import type { PeerReport } from './peerReport.js'
import type { PeerState } from './peerState.js'
import type { RegionDemand } from './regionDemand.js'
import type { ServiceDemand } from './serviceDemand.js'

/** Milliseconds after which a demand isn't counted any more; those of other regions come every two seconds. */
const DEMAND_MAX_AGE_MS = 6_000

/**
 * Hosts of a region from which on those that don't watch leave it to those that do: below, their calls are few, and a
 * watch of their own hears of changes sooner.
 */
const LEAST_TO_RELY = 8
/**
 * Part of the time within which a change must be known that the word of a watcher may be old; the rest is for asking. Below
 * the time of its watch and its reports together, all hosts of a region would ask the store again and again.
 */
const RELIED_PART = 0.75

/** Age of the first watcher's knowledge, in milliseconds, above which the second hands changes on. */
const RELAY_SILENCE_MS = 2_500

/** Senders and regions that are remembered: twice the hosts of the largest fleet. Anybody may send reports of any name. */
const MOST_PEERS = 10_000
const MOST_REGIONS = 100

const NO_COUNTS: ReadonlyMap<number, number> = new Map()

interface RegionWord {
  heardAt: number
  demands: readonly ServiceDemand[]
  /** The lowest of its hosts. */
  declaredRevision: number
}

/** What this host knows of the other hosts, from their entries in the store and from their own reports. */
export class PeerView {
  /** Monotonic milliseconds of the last report of any peer; undefined before the first. */
  lastHeardAt: number | undefined
  private readonly peers = new Map<string, PeerState>()
  private readonly regions = new Map<string, RegionWord>()
  private readonly live: LiveHosts
  private readonly lost: LostHosts

  constructor (private readonly own: HostEntry, private readonly fleet: FleetState) {
    this.live = new LiveHosts(own, fleet, this.peers)
    this.lost = new LostHosts(fleet)
  }

  /** Takes in a report; false for one that is older than the last one of its sender. */
  hear (report: PeerReport, now: number): boolean {
    const known = this.peers.get(report.host)
    if (known !== undefined && known.incarnation === report.incarnation && report.sequence <= known.sequence) return false
    this.lastHeardAt = now
    this.live.observeReport(known, report, now)
    if (report.isRegional) putBounded(this.regions, report.region, { heardAt: now, demands: report.demands, declaredRevision: report.declaredRevision }, MOST_REGIONS)
    const isOwnDemand = !report.isRegional && report.demands.length > 0
    const demands = isOwnDemand ? report.demands : known?.report.demands ?? []
    putBounded(this.peers, report.host, { incarnation: report.incarnation, sequence: report.sequence, heardAt: now, report: { ...report, demands } }, MOST_PEERS)
    return true
  }

  /** The last report of a host's requests at targets; none where it wasn't heard. */
  findCounts (host: string): ReadonlyMap<number, number> {
    return this.peers.get(host)?.report.inFlight ?? NO_COUNTS
  }

  /** Senders of reports that are remembered. */
  countHeard (): number {
    return this.peers.size
  }

  /** Demands of the other hosts of this region, and of each other region as a whole. */
  listDemands (now: number): RegionDemand[] {
    const isFresh = ({ heardAt }: { heardAt: number }): boolean => now - heardAt <= DEMAND_MAX_AGE_MS
    const near = [...this.peers.values()].filter((peer) => isFresh(peer) && peer.report.region === this.own.region)
    const far = [...this.regions].filter(([region, word]) => isFresh(word) && region !== this.own.region)
    return [
      ...near.flatMap(({ report }) => report.demands.map((demand) => ({ region: report.region, demand }))),
      ...far.flatMap(([region, { demands }]) => demands.map((demand) => ({ region, demand })))
    ]
  }

  /** Hosts that serve callers, this one included. Those of other regions report seldom: their entries count. */
  listLive (now: number): readonly HostEntry[] {
    return this.live.find(now).live
  }

  /** The lowest revision of the operators' resources in force on a live host of this region; Infinity where none is heard. */
  findLowestDeclared (now: number): number {
    const near = this.live.listNear().filter((entry) => this.live.hasHeard(entry, now))
    return near.reduce((lowest, { name }) => Math.min(lowest, this.peers.get(name)?.report.declaredRevision ?? Infinity), Infinity)
  }

  /** What was last heard of another host: by itself in this region, by its region's word elsewhere; undefined where nothing was. */
  findWord (entry: HostEntry): { heardAt: number, isLeaving: boolean, declaredRevision: number } | undefined {
    const peer = this.peers.get(entry.name)
    const word = entry.region === this.own.region ? undefined : this.regions.get(entry.region)
    if (word !== undefined) return { heardAt: word.heardAt, isLeaving: peer?.report.isLeaving === true && peer.incarnation === entry.incarnation, declaredRevision: word.declaredRevision }
    return peer === undefined ? undefined : { heardAt: peer.heardAt, isLeaving: peer.report.isLeaving, declaredRevision: peer.report.declaredRevision }
  }

  /** Number of hosts that may send, those too whose end isn't certain; undefined while this host doesn't know them. */
  countHosts (): number | undefined {
    return this.fleet.isComplete ? Math.max(1, this.fleet.listHosts().length) : undefined
  }

  /** The same with those whose entries went without their leave, as they may only be cut off. */
  countPossibleHosts (now: number): number {
    return Math.max(1, this.fleet.listHosts().length) + this.lost.count(now)
  }

  /** A host's entry is gone from the store. */
  observeGone ({ name, incarnation }: HostEntry, now: number): void {
    const peer = this.peers.get(name)
    const hasLeft = peer?.incarnation === incarnation && peer.report.isLeaving
    if (!hasLeft) this.lost.add(name, now)
  }

  /** Availability zones with live hosts. */
  listZones (now: number): string[] {
    return [...this.live.find(now).summing.keys()]
  }

  /** Hosts that sum up for an availability zone; every host that knows the same hosts names the same ones. */
  listSumming (availabilityZone: string, now: number): readonly HostEntry[] {
    return this.live.find(now).summing.get(availabilityZone) ?? []
  }

  /** Hosts that sum up for the other availability zones. */
  listFarSumming (now: number): readonly HostEntry[] {
    return this.listZones(now).filter((zone) => zone !== this.own.availabilityZone).flatMap((zone) => this.listSumming(zone, now))
  }

  /** The other live hosts of this host's availability zone. */
  listZonePeers (now: number): readonly HostEntry[] {
    return this.listLive(now).filter(({ name, availabilityZone }) => availabilityZone === this.own.availabilityZone && name !== this.own.name)
  }

  /** The other host whose report this is; undefined where it isn't of its present life or from its address, as anybody may send to the port. */
  findSender ({ host, incarnation }: Pick<PeerReport, 'host' | 'incarnation'>, ip: string): HostEntry | undefined {
    const entry = this.fleet.findHost(host)
    const isGenuine = entry?.incarnation === incarnation && entry.ip === ip && entry.name !== this.own.name
    return isGenuine ? entry : undefined
  }

  isSumming (now: number): boolean {
    return this.listSumming(this.own.availabilityZone, now).some(({ name }) => name === this.own.name)
  }

  /** The same of this host's region alone. */
  countRegionHosts (): number | undefined {
    return this.fleet.isComplete ? Math.max(1, this.live.listNear().length) : undefined
  }

  /** Hosts that share the work on the targets of a region: its own, or all where it has none. */
  listSenders (region: string, now: number): readonly string[] | undefined {
    if (!this.fleet.isComplete) return undefined
    const { live, senders } = this.live.find(now)
    const known = senders.get(region)
    if (known !== undefined) return known
    const inRegion = live.filter((entry) => entry.region === region)
    const names = (inRegion.length > 0 ? inRegion : live).map((entry) => entry.name)
    senders.set(region, names)
    return names
  }

  /** Whether this host is one of the few of its region that speak for it, or hears no other one of it. */
  isSpeaker (now: number): boolean {
    if (!this.live.hasHeardNear(now)) return true
    return this.listSpeakers(now).includes(this.own.name)
  }

  /**
   * Whether a report is the word of a host that watches the store for this region. Anybody may send to the port, and what such
   * a host hands on decides where requests go: it counts only in its present life, and from its own address or that
   * of a host of this region, which passes it on.
   */
  isWatcher ({ host, incarnation }: PeerReport, ip: string, now: number): boolean {
    const { speakers, nearAddresses } = this.live.find(now)
    return speakers.includes(host) && this.fleet.findHost(host)?.incarnation === incarnation && nearAddresses.has(ip)
  }

  /**
   * Whether this host is the one that hands changes on: the first that watches, or the second while the first isn't heard or doesn't
   * reach the store. Of what both hand on half would be for nothing.
   */
  isRelay (now: number): boolean {
    const [first] = this.listSpeakers(now)
    if (first === undefined || first === this.own.name) return true
    const peer = this.peers.get(first)
    return peer === undefined || now - peer.heardAt + peer.report.storeAgeMs > RELAY_SILENCE_MS
  }

  /** Whether the hosts of this region are so many that those that don't watch leave it to those that do. */
  hasManyNear (): boolean {
    return this.live.listNear().length >= LEAST_TO_RELY
  }

  /**
   * Whether this host may leave it to others of its region to watch the store: one of them was heard lately, and what it
   * knows was confirmed lately.
   *
   * @param boundMs time within which this host must know of a change
   */
  hasReliableWatchers (boundMs: number, now: number): boolean {
    if (!this.hasManyNear()) return false
    const speakers = this.listSpeakers(now)
    if (speakers.includes(this.own.name)) return false
    return speakers.some((name) => {
      const peer = this.peers.get(name)
      return peer !== undefined && now - peer.heardAt + peer.report.storeAgeMs <= boundMs * RELIED_PART
    })
  }

  private listSpeakers (now: number): readonly string[] {
    return this.live.find(now).speakers
  }
}
