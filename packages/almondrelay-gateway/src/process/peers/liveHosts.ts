import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
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

/** Milliseconds for which the lists of live hosts are reused if no report changes them, as each request and look-up needs them. */
const MAX_LIST_AGE_MS = 250

/** Determines which hosts are live, and which of them are representatives of this region or aggregators of their zones. */
export class LiveHosts {
  /** Incremented by each report that changes which hosts are live. */
  private changes = 0
  private lists: LiveLists | undefined
  private readonly firstSeenAt = new Map<string, { incarnation: string, at: number }>()

  /** @param peers last report of each host, kept up to date by the caller */
  constructor (private readonly own: HostEntry, private readonly fleet: FleetState, private readonly peers: ReadonlyMap<string, PeerState>) {}

  /**
   * Registers a report, which may change which hosts are live.
   *
   * @param known state from the sender's previous report; undefined before its first one
   */
  observeReport (known: PeerState | undefined, report: PeerReport, now: number): void {
    if (known === undefined || now - known.receivedAt > REPORT_TIMEOUT_MS || known.report.isLeaving !== report.isLeaving) this.changes += 1
  }

  /** Returns the lists for the present time, recomputed if they are outdated. */
  findLists (now: number): LiveLists {
    const { lists, changes, fleet: { hostsRevision } } = this
    if (lists !== undefined && lists.changes === changes && lists.hostsRevision === hostsRevision && now - lists.createdAt < MAX_LIST_AGE_MS) return lists
    const made = this.makeLists(now)
    this.lists = made
    return made
  }

  /** Returns the entries of the hosts of this region, including this host. */
  listRegionHosts (): HostEntry[] {
    return this.fleet.listHosts().filter((entry) => entry.region === this.own.region)
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
    const hosts = this.fleet.listHosts()
    for (const entry of hosts) this.observeEntry(entry, now)
    const isIsolated = !this.hasRecentReportInRegion(now)
    const live = hosts.filter((entry) => entry.name === this.own.name || this.isLive(entry, now, isIsolated))
    const regionHosts = live.filter((entry) => entry.region === this.own.region)
    return {
      createdAt: now,
      changes: this.changes,
      hostsRevision: this.fleet.hostsRevision,
      live,
      regionAddresses: new Set(regionHosts.map(({ ip }) => ip)),
      representatives: regionHosts.map((entry) => entry.name).sort().slice(0, REPRESENTATIVES_PER_REGION),
      aggregators: listFirstByZone(live, AGGREGATORS_PER_ZONE),
      senders: new Map()
    }
  }

  // A host that receives no reports is more likely cut off itself than the last live host; it then relies on the entries in the store.
  private isLive (entry: HostEntry, now: number, isIsolated: boolean): boolean {
    const peer = this.peers.get(entry.name)
    if (peer?.report.isLeaving === true && peer.incarnation === entry.incarnation) return false
    if (isIsolated || entry.region !== this.own.region) return true
    return this.hasRecentReport(entry, now) || now - (this.firstSeenAt.get(entry.name)?.at ?? now) <= ENTRY_TRUST_MS
  }

  private observeEntry (entry: HostEntry, now: number): void {
    if (this.firstSeenAt.get(entry.name)?.incarnation !== entry.incarnation) this.firstSeenAt.set(entry.name, { incarnation: entry.incarnation, at: now })
  }
}

/** Returns the first hosts of each availability zone by name. */
const listFirstByZone = (hosts: readonly HostEntry[], maxPerZone: number): Map<string, HostEntry[]> => {
  const byZone = new Map<string, HostEntry[]>()
  for (const entry of [...hosts].sort((one, other) => one.name < other.name ? -1 : 1)) {
    const first = byZone.get(entry.availabilityZone) ?? []
    if (first.length < maxPerZone) byZone.set(entry.availabilityZone, [...first, entry])
  }
  return byZone
}
