import type { TargetAnswerHead } from '../../request/targetAnswerHead.js'
import type { TargetState } from '../../request/targetState.js'
import { AnnouncedDepartures } from './announcedDepartures.js'
import { AnnouncedLimits } from './announcedLimits.js'
import { AnnouncedPauses } from './announcedPauses.js'
import type { AnnouncementsParts } from './announcementsParts.js'

/**
 * What targets announce about themselves in their answers, by their incarnations. It is kept apart from the targets' entries, which may
 * lapse and come back while the target goes on.
 */
export class TargetAnnouncements {
  readonly limits: AnnouncedLimits
  readonly departures: AnnouncedDepartures
  readonly pauses: AnnouncedPauses

  constructor (parts: AnnouncementsParts) {
    this.limits = new AnnouncedLimits(parts)
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
    this.limits.observe(target, requestLimit, requestId, sentAt, now)
    if (isLeaving) this.departures.observe(target, { requestId }, now)
    if (pauseMs > 0) this.pauses.observe(target, pauseMs, requestId, now)
  }
}
