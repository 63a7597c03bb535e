import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { LiveLists } from './liveLists.js'
import type { PeerReport } from './peerReport.js'
import type { PeerState } from './peerState.js'

/** Milliseconds of silence after which a peer isn't taken for live, though its entry still stands. */
const SILENCE_MS = 3_000
/** Milliseconds for which an entry alone is word enough: its host may not have reported yet. */
const ENTRY_TRUST_MS = 3_000
/** Hosts of a region that speak for it to the other regions and watch the store with short waits. */
const SPEAKERS = 2
/** Hosts of an availability zone that sum up what its hosts tell: two, so that one that ends or stands still leaves no gap. */
const SUMMING_HOSTS = 2

/** Milliseconds for which a list of live hosts holds while nothing is heard that changes it: requests and look-ups ask for it. */
const LIST_LIFE_MS = 250

/** Which hosts are taken for live, and which of them do what for the others. */
export class LiveHosts {
  /** Grows with each report that changes who is live. */
  private changes = 0
  private lists: LiveLists | undefined
  private readonly firstSeenAt = new Map<string, { incarnation: string, at: number }>()

  /** @param peers what was last heard of each host, kept up by the caller */
  constructor (private readonly own: HostEntry, private readonly fleet: FleetState, private readonly peers: ReadonlyMap<string, PeerState>) {}

  /** @param known what was heard of the sender before; undefined where nothing was */
  observeReport (known: PeerState | undefined, report: PeerReport, now: number): void {
    if (known === undefined || now - known.heardAt > SILENCE_MS || known.report.isLeaving !== report.isLeaving) this.changes += 1
  }

  find (now: number): LiveLists {
    const { lists, changes, fleet: { hostsRevision } } = this
    if (lists !== undefined && lists.changes === changes && lists.hostsRevision === hostsRevision && now - lists.madeAt < LIST_LIFE_MS) return lists
    const made = this.makeLists(now)
    this.lists = made
    return made
  }

  /** Entries of the hosts of this region, this one's included. */
  listNear (): HostEntry[] {
    return this.fleet.listHosts().filter((entry) => entry.region === this.own.region)
  }

  hasHeardNear (now: number): boolean {
    return this.listNear().some((entry) => entry.name !== this.own.name && this.hasHeard(entry, now))
  }

  hasHeard (entry: HostEntry, now: number): boolean {
    const peer = this.peers.get(entry.name)
    return peer !== undefined && now - peer.heardAt <= SILENCE_MS
  }

  private makeLists (now: number): LiveLists {
    const hosts = this.fleet.listHosts()
    for (const entry of hosts) this.observeEntry(entry, now)
    const isAlone = !this.hasHeardNear(now)
    const live = hosts.filter((entry) => entry.name === this.own.name || this.isLive(entry, now, isAlone))
    const near = live.filter((entry) => entry.region === this.own.region)
    return {
      madeAt: now,
      changes: this.changes,
      hostsRevision: this.fleet.hostsRevision,
      live,
      nearAddresses: new Set(near.map(({ ip }) => ip)),
      speakers: near.map((entry) => entry.name).sort().slice(0, SPEAKERS),
      summing: listFirst(live, SUMMING_HOSTS),
      senders: new Map()
    }
  }

  // A host that hears nobody is more likely cut off itself than the last one alive: it then goes by the entries.
  private isLive (entry: HostEntry, now: number, isAlone: boolean): boolean {
    const peer = this.peers.get(entry.name)
    if (peer?.report.isLeaving === true && peer.incarnation === entry.incarnation) return false
    if (isAlone || entry.region !== this.own.region) return true
    return this.hasHeard(entry, now) || now - (this.firstSeenAt.get(entry.name)?.at ?? now) <= ENTRY_TRUST_MS
  }

  private observeEntry (entry: HostEntry, now: number): void {
    if (this.firstSeenAt.get(entry.name)?.incarnation !== entry.incarnation) this.firstSeenAt.set(entry.name, { incarnation: entry.incarnation, at: now })
  }
}

/** The first hosts of each availability zone by name. */
const listFirst = (hosts: readonly HostEntry[], most: number): Map<string, HostEntry[]> => {
  const byZone = new Map<string, HostEntry[]>()
  for (const entry of [...hosts].sort((one, other) => one.name < other.name ? -1 : 1)) {
    const first = byZone.get(entry.availabilityZone) ?? []
    if (first.length < most) byZone.set(entry.availabilityZone, [...first, entry])
  }
  return byZone
}
