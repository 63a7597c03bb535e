import type { MemberEntry } from './memberEntry.js'
import type { Neighbour } from './neighbour.js'

/** Heartbeats that a peer may miss before it is suspected. */
const MISSED_HEARTBEATS = 3
/** Where the last report through peers is newer than the last direct one by more than this, the peers receive the host's reports and this host doesn't. */
const PEER_REPORT_LEAD_MS = 3_000
/** Reports of such a host arrive through peers with periodic refreshes; only after this time without any do the peers receive none either. */
const PEER_REPORT_TIMEOUT_MS = 10_000
/** Consecutive failed attempts before a host whose own reports still arrive counts as unreachable from this host. */
const MIN_FAILURES = 2
/** A zone is not silent if one of its hosts reported more than this after the last report of the silent ones. */
const ZONE_REPORT_MARGIN_MS = 2_000
/** Silent hosts of a zone that suffice to suspect its other hosts too, with which no host of this zone exchanges heartbeats. */
const MIN_SILENT_HOSTS = 2

/**
 * Decides which hosts are suspected for silence. A neighbour is suspected after three missed heartbeats,
 * but not before `suspectAfterMs`, and also when attempts to reach it fail although its reports still arrive, as in a
 * network partition of one direction. Other hosts are suspected when their neighbours report them silent. Where all
 * hosts of a zone that exchange heartbeats with other zones are silent, the whole zone counts as partitioned.
 */
export class SilenceRule {
  private watched = new Map<string, { intervalMs: number, since: number }>()

  constructor (private readonly suspectAfterMs: number, private readonly heartbeatMs: number) {}

  /** Sets the current neighbours; only their silence is measured by this host's own clock. */
  setIntervals (neighbours: readonly Neighbour[], now: number): void {
    this.watched = new Map(neighbours.map(({ host, intervalMs }) => [host, { intervalMs, since: this.watched.get(host)?.since ?? now }]))
  }

  /**
   * Whether this host may report the other as silent: the other is a neighbour, and no host has received a report
   * from it lately. Otherwise the finding would be sent together with a newer report through peers, and a host
   * that only this one can't reach would look silent to all.
   */
  isWitness (entry: MemberEntry, now: number): boolean {
    if (!this.watched.has(entry.host)) return false
    const doPeersReceiveReports = entry.heardAt - entry.directAt > PEER_REPORT_LEAD_MS
    return now - entry.heardAt > (doPeersReceiveReports ? PEER_REPORT_TIMEOUT_MS : this.suspectAfterMs)
  }

  listSilent (entries: Iterable<MemberEntry>, self: { host: string, availabilityZone: string }, now: number): ReadonlySet<string> {
    const reported: MemberEntry[] = []
    const silent = new Set<string>()
    const zones = new Set<string>()
    for (const entry of entries) {
      if (entry.isGone || entry.heardAt === -Infinity || entry.host === self.host) continue
      reported.push(entry)
      if (!this.isSilent(entry, now)) continue
      silent.add(entry.host)
      if (entry.availabilityZone !== self.availabilityZone) zones.add(entry.availabilityZone)
    }
    for (const name of zones) {
      const zone = reported.filter((entry) => entry.availabilityZone === name)
      if (isZoneSilent(zone, silent)) for (const entry of zone) silent.add(entry.host)
    }
    return silent
  }

  private isSilent (entry: MemberEntry, now: number): boolean {
    const watched = this.watched.get(entry.host)
    if (watched === undefined || entry.isSilent) return entry.isSilent
    if (entry.failures >= MIN_FAILURES && now - Math.max(entry.failedSince, watched.since) > this.suspectAfterMs) return true
    const slowest = watched.intervalMs > this.heartbeatMs ? watched.intervalMs * MISSED_HEARTBEATS : 0
    return now - Math.max(entry.directAt, watched.since) > Math.max(this.suspectAfterMs, slowest)
  }
}

function isZoneSilent (zone: readonly MemberEntry[], silent: ReadonlySet<string>): boolean {
  const silentHosts = zone.filter((entry) => silent.has(entry.host))
  if (silentHosts.length === 0 || silentHosts.length < Math.min(MIN_SILENT_HOSTS, zone.length)) return false
  const lastReportAt = Math.max(...silentHosts.map((entry) => entry.heardAt))
  return zone.every((entry) => entry.heardAt <= lastReportAt + ZONE_REPORT_MARGIN_MS)
}
