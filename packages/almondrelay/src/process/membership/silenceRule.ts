import type { MemberEntry } from './memberEntry.js'
import type { Neighbour } from './neighbour.js'

/** Heartbeats that a peer may miss before it is suspected. */
const MISSED_HEARTBEATS = 3
/** Where the last report through peers is newer than the last direct one by more than this, the peers receive the host's reports and this host doesn't. */
const OTHERS_HEAR_MS = 3_000
/** Reports of such a host arrive through peers with periodic refreshes; only after this time without any do the peers receive none either. */
const OTHERS_SILENT_MS = 10_000
/** Consecutive failed attempts before a host whose own reports still arrive counts as unreachable from this host. */
const FEWEST_FAILURES = 2
/** A zone is not silent if one of its hosts reported more than this after the last report of the silent ones. */
const ZONE_MARGIN_MS = 2_000
/** Silent hosts of a zone that suffice to suspect its other hosts too, with which no host of this zone exchanges heartbeats. */
const ZONE_WITNESSES = 2

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
    const doOthersHear = entry.heardAt - entry.directAt > OTHERS_HEAR_MS
    return now - entry.heardAt > (doOthersHear ? OTHERS_SILENT_MS : this.suspectAfterMs)
  }

  listSilent (entries: Iterable<MemberEntry>, self: { host: string, availabilityZone: string }, now: number): ReadonlySet<string> {
    const heard: MemberEntry[] = []
    const silent = new Set<string>()
    const zones = new Set<string>()
    for (const entry of entries) {
      if (entry.isGone || entry.heardAt === -Infinity || entry.host === self.host) continue
      heard.push(entry)
      if (!this.isSilent(entry, now)) continue
      silent.add(entry.host)
      if (entry.availabilityZone !== self.availabilityZone) zones.add(entry.availabilityZone)
    }
    for (const name of zones) {
      const zone = heard.filter((entry) => entry.availabilityZone === name)
      if (isZoneSilent(zone, silent)) for (const entry of zone) silent.add(entry.host)
    }
    return silent
  }

  private isSilent (entry: MemberEntry, now: number): boolean {
    const watched = this.watched.get(entry.host)
    if (watched === undefined || entry.isSilent) return entry.isSilent
    if (entry.failures >= FEWEST_FAILURES && now - Math.max(entry.failedSince, watched.since) > this.suspectAfterMs) return true
    const slowest = watched.intervalMs > this.heartbeatMs ? watched.intervalMs * MISSED_HEARTBEATS : 0
    return now - Math.max(entry.directAt, watched.since) > Math.max(this.suspectAfterMs, slowest)
  }
}

function isZoneSilent (zone: readonly MemberEntry[], silent: ReadonlySet<string>): boolean {
  const witnesses = zone.filter((entry) => silent.has(entry.host))
  if (witnesses.length === 0 || witnesses.length < Math.min(ZONE_WITNESSES, zone.length)) return false
  const lastHeard = Math.max(...witnesses.map((entry) => entry.heardAt))
  return zone.every((entry) => entry.heardAt <= lastHeard + ZONE_MARGIN_MS)
}
