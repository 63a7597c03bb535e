import { MAX_TRACKED_TARGETS } from '../../request/maxTrackedTargets.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'
import type { AnnouncementsParts } from './announcementsParts.js'

/**
 * Milliseconds for which a departure is kept. Entries of the target may come back for as long as its process runs, and outages of the store
 * may delay its last one.
 */
const KEPT_MS = 600_000
/** Milliseconds for which a departure is reported to peers, and between two of these reports. */
const REPORTED_MS = 20_000
const REPORT_INTERVAL_MS = 2_000
/** Maximum departures in one report. */
const MAX_REPORTED = 8

interface Departure {
  heardAt: number
  /** Whether the target told this host, and not a peer. */
  isHeardHere: boolean
  reportedAt: number
}

interface DepartureSource {
  /** Request whose answer announced the departure. */
  requestId?: string | undefined
  /** Peer that reported it. */
  peer?: string
}

/** Targets that have announced in an answer that they are leaving, by their incarnations. */
export class AnnouncedDepartures {
  private readonly departures = new Map<number, Departure>()

  constructor (private readonly parts: AnnouncementsParts) {}

  /** Records a departure, from an answer to this host or from a peer's report. The target gets no new requests from now on. */
  observe (target: TargetState, source: DepartureSource, now: number): void {
    target.markLeaving()
    if (this.departures.has(target.incarnationHash)) return
    putBounded(this.departures, target.incarnationHash, { heardAt: now, isHeardHere: source.peer === undefined, reportedAt: -Infinity }, MAX_TRACKED_TARGETS)
    this.parts.metrics.countTargetAnnouncement('leaving')
    this.parts.log.record('target announced that it is leaving', { target: target.entry.id, service: target.entry.service, ...source })
  }

  /** Applies an earlier announcement to a target whose entry lapsed and came back. */
  apply (target: TargetState): void {
    if (this.departures.has(target.incarnationHash)) target.markLeaving()
  }

  /** Returns the hashes of the leaving incarnations to report to peers now. */
  takeReports (now: number): number[] {
    const reports: number[] = []
    for (const [incarnationHash, departure] of this.departures) {
      const { heardAt, isHeardHere, reportedAt } = departure
      if (now - heardAt > KEPT_MS) this.departures.delete(incarnationHash)
      else if (isHeardHere && now - heardAt <= REPORTED_MS && now - reportedAt >= REPORT_INTERVAL_MS && reports.length < MAX_REPORTED) {
        departure.reportedAt = now
        reports.push(incarnationHash)
      }
    }
    return reports
  }
}
