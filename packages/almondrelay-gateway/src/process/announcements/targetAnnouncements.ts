import { putBounded } from '../../request/putBounded.js'
import type { TargetAnswerHead } from '../../request/targetAnswerHead.js'
import type { TargetState } from '../../request/targetState.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'

/** Maximum targets whose announcements are kept, several times those of the largest fleet; the oldest are dropped. */
const MAX_TARGETS = 20_000

interface RequestLimit {
  /** Infinity where the target states no limit any more. */
  perSecond: number
  /** Monotonic milliseconds at which the target's answer arrived. */
  heardAt: number
}

interface AnnouncementsParts {
  log: EventLog
  metrics: GatewayMetrics
}

/** What targets announce about themselves in their answers, by their incarnations. */
export class TargetAnnouncements {
  private readonly limits = new Map<number, RequestLimit>()

  constructor (private readonly parts: AnnouncementsParts) {}

  /**
   * Records what the head of a target's answer announces.
   *
   * @param sentAt monotonic milliseconds at which the request of this answer was sent
   */
  observeAnswer (target: TargetState, head: TargetAnswerHead, sentAt: number, now: number): void {
    if (head.isMisdirected || (!head.isGenuine && !head.isNotRun)) return
    if (head.requestLimit === undefined) this.reportUnreadableLimit(target, head)
    else this.observeLimit(target, head.requestLimit, head.requestId, sentAt, now)
  }

  /** Returns the requests per second that a target takes from all hosts together; Infinity if it has announced no limit. */
  getRequestLimit (target: TargetState): number {
    return this.limits.get(target.incarnationHash)?.perSecond ?? Infinity
  }

  // Answers on different connections overtake each other: one to a request sent before the last announcement arrived may be older.
  private observeLimit (target: TargetState, perSecond: number, requestId: string | undefined, sentAt: number, now: number): void {
    const known = this.limits.get(target.incarnationHash)
    const previous = known?.perSecond ?? Infinity
    if (known === undefined && perSecond === Infinity) return
    if (known !== undefined && perSecond > previous && sentAt < known.heardAt) return
    putBounded(this.limits, target.incarnationHash, { perSecond, heardAt: now }, MAX_TARGETS)
    if (perSecond === previous) return
    this.parts.metrics.countRequestLimitChange(perSecond === Infinity ? 'lifted' : 'stated')
    this.parts.log.record('request limit of a target', { target: target.entry.id, service: target.entry.service, perSecond: describeLimit(perSecond), previous: describeLimit(previous), requestId })
  }

  private reportUnreadableLimit (target: TargetState, head: TargetAnswerHead): void {
    this.parts.metrics.countRequestLimitChange('unreadable')
    this.parts.log.record('request limit of a target can\'t be read', { target: target.entry.id, service: target.entry.service, requestId: head.requestId })
  }
}

const describeLimit = (perSecond: number): number | string => perSecond === Infinity ? 'none' : perSecond
