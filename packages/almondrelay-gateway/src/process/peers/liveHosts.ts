import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import { computeHostHash } from './computeHostHash.js'
import type { LiveLists } from './liveLists.js'
import type { PeerReport } from './peerReport.js'
import type { PeerState } from './peerState.js'

/** Milliseconds without a report after which a peer no longer counts as live, even if its entry is still in the store. */
const REPORT_TIMEOUT_MS = 3_000
/** Milliseconds for which a new entry alone makes a host count as live, because the host may not have sent a report yet. */
const ENTRY_TRUST_MS = 3_000
/**
 * Number of representatives of a region: they send its reports to the other regions and, as its watchers, watch the store with short
 * waits.
 */
const REPRESENTATIVES_PER_REGION = 2
/** Number of hosts of an availability zone that aggregate its hosts' reports: two, so that there is no gap when one exits or hangs. */
const AGGREGATORS_PER_ZONE = 2

/** Milliseconds for which a region's report of its silent hosts counts. Representatives report every two seconds. */
const REGION_REPORT_TIMEOUT_MS = 6_000

interface SilentHosts {
  hashes: ReadonlySet<number>
  receivedAt: number
}

/** Determines which hosts are live, and which of them are representatives of this region or aggregators of their zones. */
export class LiveHosts {
  /** Incremented by each report that changes which hosts are live. */
  private changes = 0
  private lists: LiveLists | undefined
  /** When this host last received a report of a host that has an entry; -Infinity before the first. */
  private lastReportAt = -Infinity
  private regionHosts: readonly HostEntry[] = []
  /** Silent hosts of other regions, by region, as these report them. */
  private readonly silentElsewhere = new Map<string, SilentHosts>()
  /** Revision of the fleet's hosts from which `regionHosts` was computed. */
  private regionHostsRevision = -1
  private readonly firstSeenAt = new Map<string, { incarnation: string, at: number }>()

  /** @param peers last report of each host, kept up to date by the caller */
  constructor (private readonly own: HostEntry, private readonly fleet: FleetState, private readonly peers: ReadonlyMap<string, PeerState>) {}

  /**
   * Registers a report, which may change which hosts are live.
   *
   * @param known state from the sender's previous report; undefined before its first one
   */
  observeReport (known: PeerState | undefined, report: PeerReport, now: number): void {
    if (this.fleet.findHost(report.host) !== undefined) this.lastReportAt = now
    if (known === undefined || now - known.receivedAt > REPORT_TIMEOUT_MS || known.incarnation !== report.incarnation || known.report.isLeaving !== report.isLeaving) this.changes += 1
  }

  /** Registers which hosts of another region aren't heard there. */
  receiveSilentHosts (region: string, silentHosts: readonly number[], now: number): void {
    const known = this.silentElsewhere.get(region)
    if (known === undefined && silentHosts.length === 0) return
    if (silentHosts.length === 0) this.silentElsewhere.delete(region)
    else this.silentElsewhere.set(region, { hashes: new Set(silentHosts), receivedAt: now })
    this.changes += 1
  }

  /**
   * Returns the lists for the present time. They are recomputed only when a report or an entry has changed them, or when a host may have
   * been silent for too long: each report, request and look-up needs them.
   */
  findLists (now: number): LiveLists {
    const { lists, changes, fleet: { hostsRevision } } = this
    const isUnchanged = lists !== undefined && lists.changes === changes && lists.hostsRevision === hostsRevision
    if (isUnchanged && this.findReferenceTime(lists.isIsolated, now) <= lists.validUntil && now <= lists.regionReportsValidUntil) return lists
    const made = this.makeLists(now)
    this.lists = made
    return made
  }

  /** Returns the entries of the hosts of this region, including this host. */
  listRegionHosts (): readonly HostEntry[] {
    const { fleet } = this
    if (this.regionHostsRevision !== fleet.hostsRevision) {
      this.regionHosts = fleet.listHosts().filter((entry) => entry.region === this.own.region)
      this.regionHostsRevision = fleet.hostsRevision
    }
    return this.regionHosts
  }

  /** Returns whether any other host of this region has reported recently. */
  hasRecentReportInRegion (now: number): boolean {
    return this.listRegionHosts().some((entry) => entry.name !== this.own.name && this.hasRecentReport(entry, now))
  }

  /** Returns whether a host has reported within REPORT_TIMEOUT_MS. */
  hasRecentReport (entry: HostEntry, now: number): boolean {
    const peer = this.peers.get(entry.name)
    return peer !== undefined && now - peer.receivedAt <= REPORT_TIMEOUT_MS
  }

  private makeLists (now: number): LiveLists {
    const isIsolated = !this.hasRecentReportInRegion(now)
    const referenceTime = this.findReferenceTime(isIsolated, now)
    const live: HostEntry[] = []
    const regionAddresses = new Set<string>()
    const representatives: HostEntry[] = []
    const aggregators = new Map<string, HostEntry[]>()
    const silentHosts: number[] = []
    let validUntil = Infinity
    for (const entry of this.fleet.listHosts()) {
      this.observeEntry(entry, now)
      const isOwn = entry.name === this.own.name
      if (!isOwn && entry.region === this.own.region) validUntil = Math.min(validUntil, this.computeSilenceEnd(entry, referenceTime))
      if (!isOwn && !this.isLive(entry, referenceTime, now)) {
        if (entry.region === this.own.region) silentHosts.push(computeHostHash(entry))
        continue
      }
      live.push(entry)
      putFirst(aggregators, entry)
      if (entry.region !== this.own.region) continue
      regionAddresses.add(entry.ip)
      addSorted(representatives, entry, REPRESENTATIVES_PER_REGION)
    }
    return { isIsolated, validUntil, regionReportsValidUntil: this.findRegionReportsEnd(now), silentHosts, changes: this.changes, hostsRevision: this.fleet.hostsRevision, live, regionAddresses, representatives: representatives.map(({ name }) => name), aggregators, senders: new Map() }
  }

  /**
   * Returns the time up to which the silence of a host of this region says that it is lost: the present, or when this host last heard any
   * other one if it hears none of its region. After that it may be cut off itself.
   */
  private findReferenceTime (isIsolated: boolean, now: number): number {
    return isIsolated ? this.lastReportAt : now
  }

  /** Returns the last reference time at which a host of this region counts as live; Infinity if it has passed. */
  private computeSilenceEnd (entry: HostEntry, referenceTime: number): number {
    const reportEnd = (this.peers.get(entry.name)?.receivedAt ?? -Infinity) + REPORT_TIMEOUT_MS
    if (reportEnd >= referenceTime) return reportEnd
    const entryEnd = (this.firstSeenAt.get(entry.name)?.at ?? Infinity) + ENTRY_TRUST_MS
    return entryEnd >= referenceTime ? entryEnd : Infinity
  }

  private findRegionReportsEnd (now: number): number {
    const ends = [...this.silentElsewhere.values()].map(({ receivedAt }) => receivedAt + REGION_REPORT_TIMEOUT_MS)
    return Math.min(Infinity, ...ends.filter((end) => end >= now))
  }

  private isSilentElsewhere (entry: HostEntry, now: number): boolean {
    const reported = this.silentElsewhere.get(entry.region)
    return reported !== undefined && now - reported.receivedAt <= REGION_REPORT_TIMEOUT_MS && reported.hashes.has(computeHostHash(entry)) && !this.hasRecentReport(entry, now)
  }

  private isLive (entry: HostEntry, referenceTime: number, now: number): boolean {
    const peer = this.peers.get(entry.name)
    if (peer?.report.isLeaving === true && peer.incarnation === entry.incarnation) return false
    return entry.region === this.own.region ? this.computeSilenceEnd(entry, referenceTime) !== Infinity : !this.isSilentElsewhere(entry, now)
  }

  private observeEntry (entry: HostEntry, now: number): void {
    if (this.firstSeenAt.get(entry.name)?.incarnation !== entry.incarnation) this.firstSeenAt.set(entry.name, { incarnation: entry.incarnation, at: now })
  }
}

/** Puts a host among the aggregators of its availability zone, the first hosts of the zone by name. */
const putFirst = (byZone: Map<string, HostEntry[]>, entry: HostEntry): void => {
  const known = byZone.get(entry.availabilityZone)
  if (known === undefined) byZone.set(entry.availabilityZone, [entry])
  else addSorted(known, entry, AGGREGATORS_PER_ZONE)
}

/** Adds an entry to a list that is sorted by name, and drops those beyond `maxLength`. */
const addSorted = (sorted: HostEntry[], entry: HostEntry, maxLength: number): void => {
  let index = sorted.length
  while (index > 0 && entry.name < (sorted[index - 1] as HostEntry).name) index -= 1
  if (index === maxLength) return
  sorted.splice(index, 0, entry)
  if (sorted.length > maxLength) sorted.pop()
}
