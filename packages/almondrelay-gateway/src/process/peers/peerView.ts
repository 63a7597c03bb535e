import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { PeerReport } from './peerReport.js'

/** Milliseconds of silence after which a peer isn't taken for live, though its entry still stands. */
const SILENCE_MS = 3_000
/** Milliseconds for which an entry alone is word enough: its host may not have reported yet. */
const ENTRY_TRUST_MS = 3_000

interface PeerState {
  incarnation: string
  sequence: number
  heardAt: number
  report: PeerReport
}

/** What this host knows of the other hosts, from their entries in the store and from their own reports. */
export class PeerView {
  /** Monotonic milliseconds of the last report of any peer; undefined before the first. */
  lastHeardAt: number | undefined
  private readonly peers = new Map<string, PeerState>()
  private readonly firstSeenAt = new Map<string, { incarnation: string, at: number }>()

  constructor (private readonly ownName: string, private readonly fleet: FleetState) {}

  /** Takes in a report; false for one that is older than the last one of its sender. */
  hear (report: PeerReport, now: number): boolean {
    const known = this.peers.get(report.host)
    if (known !== undefined && known.incarnation === report.incarnation && report.sequence <= known.sequence) return false
    this.lastHeardAt = now
    const demands = report.demands.length > 0 ? report.demands : known?.report.demands ?? []
    this.peers.set(report.host, { incarnation: report.incarnation, sequence: report.sequence, heardAt: now, report: { ...report, demands } })
    return true
  }

  /** Fresh reports of the peers, at most `maxAgeMs` old. */
  listReports (now: number, maxAgeMs: number): PeerReport[] {
    return [...this.peers.values()].filter(({ heardAt }) => now - heardAt <= maxAgeMs).map(({ report }) => report)
  }

  /** Hosts that serve callers, this one included. */
  listLive (now: number): HostEntry[] {
    const hosts = this.fleet.listHosts()
    for (const entry of hosts) this.observeEntry(entry, now)
    const isAlone = !hosts.some((entry) => entry.name !== this.ownName && this.hasHeard(entry, now))
    return hosts.filter((entry) => entry.name === this.ownName || this.isLive(entry, now, isAlone))
  }

  /** Number of hosts that may send; undefined while this host doesn't know them. */
  countHosts (now: number): number | undefined {
    return this.fleet.isComplete ? Math.max(1, this.listLive(now).length) : undefined
  }

  /** Hosts that share the work on the targets of a region: its own, or all where it has none. */
  listSenders (region: string, now: number): string[] | undefined {
    if (!this.fleet.isComplete) return undefined
    const live = this.listLive(now)
    const near = live.filter((entry) => entry.region === region)
    return (near.length > 0 ? near : live).map((entry) => entry.name)
  }

  private hasHeard (entry: HostEntry, now: number): boolean {
    const peer = this.peers.get(entry.name)
    return peer !== undefined && now - peer.heardAt <= SILENCE_MS
  }

  // A host that hears nobody is more likely cut off itself than the last one alive: it then goes by the entries.
  private isLive (entry: HostEntry, now: number, isAlone: boolean): boolean {
    const peer = this.peers.get(entry.name)
    if (peer?.report.isLeaving === true && peer.incarnation === entry.incarnation) return false
    return isAlone || this.hasHeard(entry, now) || now - (this.firstSeenAt.get(entry.name)?.at ?? now) <= ENTRY_TRUST_MS
  }

  private observeEntry (entry: HostEntry, now: number): void {
    if (this.firstSeenAt.get(entry.name)?.incarnation !== entry.incarnation) this.firstSeenAt.set(entry.name, { incarnation: entry.incarnation, at: now })
  }
}
