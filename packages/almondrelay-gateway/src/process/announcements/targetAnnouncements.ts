import { AnnouncedLimit } from '../../request/announcedLimit.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetAnswerHead } from '../../request/targetAnswerHead.js'
import type { TargetState } from '../../request/targetState.js'
import type { RequestLimitReport } from '../peers/requestLimitReport.js'
import { AnnouncedDepartures } from './announcedDepartures.js'
import { AnnouncedPauses } from './announcedPauses.js'
import type { AnnouncementsParts } from './announcementsParts.js'

/** Maximum targets whose announcements are kept, several times those of the largest fleet; the oldest are dropped. */
const MAX_TARGETS = 20_000
/** Milliseconds after which a limit is forgotten if no answer of the target arrived since, and after which a lifted one is. */
const FORGET_AFTER_MS = 120_000
/** Milliseconds between two reports of the same unchanged limit to peers. */
const REPORT_INTERVAL_MS = 2_000
/** Maximum limits in one report, which keeps reports to dozens of peers small. */
const MAX_REPORTED = 8

interface LimitEntry {
  limit: AnnouncedLimit
  /** Whether the target's last word was in an answer to this host, and not in a peer's report. */
  isHeardHere: boolean
  /** Monotonic milliseconds at which the limit was lifted; undefined while it is in force. */
  liftedAt: number | undefined
  /** Limit in this host's last report of it, and monotonic milliseconds of that report. */
  reported: { stated: number, at: number } | undefined
}

interface LimitSource {
  /** Request whose answer stated the limit. */
  requestId?: string | undefined
  /** Peer that reported it. */
  peer?: string
}

/**
 * What targets announce about themselves in their answers, by their incarnations. It is kept apart from the targets' entries, which may
 * lapse and come back while the target goes on.
 */
export class TargetAnnouncements {
  readonly departures: AnnouncedDepartures
  readonly pauses: AnnouncedPauses
  private readonly limits = new Map<number, LimitEntry>()

  constructor (private readonly parts: AnnouncementsParts) {
    this.departures = new AnnouncedDepartures(parts)
    this.pauses = new AnnouncedPauses(parts)
  }

  /**
   * Records what the head of a target's answer announces.
   *
   * @param sentAt monotonic milliseconds at which the request of this answer was sent
   */
  observeAnswer (target: TargetState, head: TargetAnswerHead, sentAt: number, now: number): void {
    if (head.isMisdirected || (!head.isGenuine && !head.isNotRun)) return
    const { requestLimit, requestId, isLeaving, pauseMs } = head
    if (isLeaving) this.departures.observe(target, { requestId }, now)
    if (pauseMs > 0) this.pauses.observe(target, pauseMs, requestId, now)
    if (requestLimit === undefined) this.reportUnreadableLimit(target, requestId)
    else this.observeLimit(target, requestLimit, { sentAt, heardAt: now }, { requestId })
  }

  /** Records a limit that a peer reports. Peers report what a target told them, which this host may not have heard itself. */
  receiveLimit (target: TargetState, { perSecond, ageMs }: RequestLimitReport, peer: string, now: number): void {
    const heardAt = now - ageMs
    const known = this.limits.get(target.incarnationHash)
    if (known !== undefined && heardAt <= known.limit.heardAt) return
    this.observeLimit(target, perSecond, { sentAt: heardAt, heardAt }, { peer })
  }

  /** Returns the requests per second that a target takes from all hosts together; Infinity if it has announced no limit. */
  getRequestLimit (target: TargetState): number {
    return this.limits.get(target.incarnationHash)?.limit.perSecond ?? Infinity
  }

  /** Returns the limits to report to peers now: those that targets told this host since its last report of them. */
  takeLimitReports (now: number): RequestLimitReport[] {
    const reports: RequestLimitReport[] = []
    for (const [incarnationHash, entry] of this.limits) {
      const { limit } = entry
      if (now - (entry.liftedAt ?? limit.heardAt) > FORGET_AFTER_MS) this.limits.delete(incarnationHash)
      else if (reports.length < MAX_REPORTED && isReportDue(entry, now)) {
        entry.reported = { stated: limit.stated, at: now }
        reports.push({ incarnationHash, perSecond: limit.stated, ageMs: Math.max(0, now - limit.heardAt) })
      }
    }
    return reports
  }

  private observeLimit (target: TargetState, stated: number, { sentAt, heardAt }: { sentAt: number, heardAt: number }, source: LimitSource): void {
    const known = this.limits.get(target.incarnationHash)
    if (known === undefined && stated === Infinity) return
    const entry = known ?? { limit: new AnnouncedLimit(), isHeardHere: false, liftedAt: undefined, reported: undefined }
    if (known === undefined) putBounded(this.limits, target.incarnationHash, entry, MAX_TARGETS)
    const { limit } = entry
    const previous = limit.perSecond
    const isChanged = limit.observe(stated, sentAt, heardAt)
    entry.isHeardHere = source.peer === undefined
    entry.liftedAt = limit.perSecond === Infinity ? entry.liftedAt ?? heardAt : undefined
    if (isChanged) this.reportChange(target, limit.perSecond, previous, source)
  }

  private reportChange (target: TargetState, perSecond: number, previous: number, source: LimitSource): void {
    this.parts.metrics.countRequestLimitChange(perSecond === Infinity ? 'lifted' : 'stated')
    this.parts.log.record('request limit of a target', { ...describeTarget(target), perSecond: describeLimit(perSecond), previous: describeLimit(previous), ...source })
  }

  private reportUnreadableLimit (target: TargetState, requestId: string | undefined): void {
    this.parts.metrics.countRequestLimitChange('unreadable')
    this.parts.log.record('request limit of a target can\'t be read', { ...describeTarget(target), requestId })
  }
}

const isReportDue = ({ limit, isHeardHere, reported }: LimitEntry, now: number): boolean => {
  if (!isHeardHere) return false
  if (reported === undefined || reported.stated !== limit.stated) return true
  return limit.heardAt > reported.at && now - reported.at >= REPORT_INTERVAL_MS
}

const describeTarget = ({ entry }: TargetState): { target: string, service: string } => ({ target: entry.id, service: entry.service })

const describeLimit = (perSecond: number): number | string => perSecond === Infinity ? 'none' : perSecond
