import { LimitAllowance } from '../../request/limitAllowance.js'
import type { TargetState } from '../../request/targetState.js'
import type { TargetAnnouncements } from './targetAnnouncements.js'

interface LimiterParts {
  ownHost: string
  announcements: TargetAnnouncements
  /** Returns the names of the live hosts that send requests to the targets of a region; undefined while they are unknown. */
  listSenders: (region: string, now: number) => readonly string[] | undefined
  random: () => number
}

/** Keeps the requests of this host to what targets have announced that they take. */
export class SendLimiter {
  private readonly limitAllowance: LimitAllowance

  constructor (private readonly parts: LimiterParts) {
    this.limitAllowance = new LimitAllowance(parts.ownHost, parts.random)
  }

  /** Whether the target takes a request of this host now. */
  allow (target: TargetState, now: number): boolean {
    return this.computeWait(target, now) <= 0
  }

  /** Whether the target has announced a request limit, and has not asked this host for a pause. */
  isLimited (target: TargetState, now: number): boolean {
    const { announcements } = this.parts
    return announcements.limits.get(target) !== Infinity && announcements.pauses.computeWait(target, now) === 0
  }

  /** Claims one send to the target, immediately before the request is written; false if the target doesn't take it. */
  claim (target: TargetState, now: number): boolean {
    if (!this.allow(target, now)) return false
    const perSecond = this.parts.announcements.limits.get(target)
    if (perSecond !== Infinity) this.limitAllowance.observeSend(target, perSecond, this.listSenders(target, now), now)
    return true
  }

  /** Returns the milliseconds until the target takes a request of this host; Infinity if it takes those of other hosts only. */
  computeWait (target: TargetState, now: number): number {
    const { announcements } = this.parts
    const pauseMs = announcements.pauses.computeWait(target, now)
    const perSecond = announcements.limits.get(target)
    if (perSecond === Infinity) return pauseMs
    return Math.max(pauseMs, this.limitAllowance.computeWait(target, perSecond, this.listSenders(target, now), now))
  }

  private listSenders (target: TargetState, now: number): readonly string[] | undefined {
    return this.parts.listSenders(target.entry.region, now)
  }
}
