import type { MemberEntry } from './memberEntry.js'
import type { Neighbour } from './neighbour.js'

/** Heartbeats that a peer may miss before it is suspected. */
const MISSED_HEARTBEATS = 3
/** A host of which others have word that is newer than this one's by more is one that they hear and this one doesn't. */
const OTHERS_HEAR_MS = 3_000
/** Word of such a host comes with refreshes; only when it has long ceased do the others not hear it either. */
const OTHERS_SILENT_MS = 10_000
/** Tries in a row that fail before a host that still speaks here is taken as out of reach from here. */
const FEWEST_FAILURES = 2
/** A zone is heard again once one of its hosts spoke this much later than the silent ones. */
const ZONE_MARGIN_MS = 2_000
/** Silent hosts of a zone from which the rest of it, that nobody here speaks with, is suspected too. */
const ZONE_WITNESSES = 2

/**
 * Whose silence counts as suspicion. A neighbour's own silence does, after three missed heartbeats
 * and not before `suspectAfterMs`, and so do tries that fail while it still speaks, as where a cut is
 * in one direction; of the others what their neighbours tell does; and where the
 * hosts of a zone that others speak with have all gone silent, the zone as a whole is cut off.
 */
export class SilenceRule {
  private watched = new Map<string, { intervalMs: number, since: number }>()

  constructor (private readonly suspectAfterMs: number, private readonly heartbeatMs: number) {}

  /** The neighbours of this moment; only their silence is judged by this host's own clock. */
  setIntervals (neighbours: readonly Neighbour[], now: number): void {
    this.watched = new Map(neighbours.map(({ host, intervalMs }) => [host, { intervalMs, since: this.watched.get(host)?.since ?? now }]))
  }

  /**
   * Whether this host's own finding of silence is worth telling: it is a neighbour, and nobody has
   * heard the host lately. Told with the others' newer word of it, the finding would make a host
   * that only this one can't reach look silent to all.
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
