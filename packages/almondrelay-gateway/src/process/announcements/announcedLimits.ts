import { AnnouncedLimit } from '../../request/announcedLimit.js'
import { MAX_TRACKED_TARGETS } from '../../request/maxTrackedTargets.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'
import type { RequestLimitReport } from '../peers/requestLimitReport.js'
import type { AnnouncementsParts } from './announcementsParts.js'

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

/** Request limits that targets have stated in their answers, by their incarnations. */
export class AnnouncedLimits {
  private readonly limits = new Map<number, LimitEntry>()

  constructor (private readonly parts: AnnouncementsParts) {}

  /**
   * Records what an answer of a target states.
   *
   * @param stated requests per second; Infinity where the answer states no limit, undefined where it can't be read
   * @param requestId request that was answered
   * @param sentAt monotonic milliseconds at which that request was sent
   */
  observe (target: TargetState, stated: number | undefined, requestId: string | undefined, sentAt: number, now: number): void {
    if (stated === undefined) this.reportUnreadable(target, requestId)
    else this.update(target, stated, { sentAt, heardAt: now }, { requestId })
  }

  /** Records a limit that a peer reports. Peers report what a target told them, which this host may not have heard itself. */
  receive (target: TargetState, { perSecond, ageMs }: RequestLimitReport, peer: string, now: number): void {
    const heardAt = now - ageMs
    const known = this.limits.get(target.incarnationHash)
    if (known !== undefined && heardAt <= known.limit.heardAt) return
    this.update(target, perSecond, { sentAt: heardAt, heardAt }, { peer })
  }

  /** Returns the requests per second that a target takes from all hosts together; Infinity if it has announced no limit. */
  get (target: TargetState): number {
    return this.limits.get(target.incarnationHash)?.limit.perSecond ?? Infinity
  }

  /** Returns the limits to report to peers now: those that targets told this host since its last report of them. */
  takeReports (now: number): RequestLimitReport[] {
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

  private update (target: TargetState, stated: number, { sentAt, heardAt }: { sentAt: number, heardAt: number }, source: LimitSource): void {
    const known = this.limits.get(target.incarnationHash)
    if (known === undefined && stated === Infinity) return
    const entry = known ?? { limit: new AnnouncedLimit(), isHeardHere: false, liftedAt: undefined, reported: undefined }
    if (known === undefined) putBounded(this.limits, target.incarnationHash, entry, MAX_TRACKED_TARGETS)
    const { limit } = entry
    const previous = limit.perSecond
    const isChanged = limit.observe(stated, sentAt, heardAt)
    if (limit.heardAt === heardAt) entry.isHeardHere = source.peer === undefined
    entry.liftedAt = limit.perSecond === Infinity ? entry.liftedAt ?? heardAt : undefined
    if (isChanged) this.reportChange(target, limit.perSecond, previous, source)
  }

  private reportChange (target: TargetState, perSecond: number, previous: number, source: LimitSource): void {
    this.parts.metrics.countRequestLimitChange(perSecond === Infinity ? 'lifted' : 'stated')
    this.parts.log.record('request limit of a target', { ...describeTarget(target), perSecond: describeLimit(perSecond), previous: describeLimit(previous), ...source })
  }

  private reportUnreadable (target: TargetState, requestId: string | undefined): void {
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
