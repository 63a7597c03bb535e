import { MAX_TRACKED_TARGETS } from '../../request/maxTrackedTargets.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'
import type { AnnouncementsParts } from './announcementsParts.js'

/** Maximum length of a pause in milliseconds, so that a single bad answer can't keep this host away from a target for good. */
const MAX_PAUSE_MS = 300_000

/** Pauses that targets, turning a request of this host away, asked this host for, by their incarnations. */
export class AnnouncedPauses {
  /** Monotonic milliseconds until which each target wants no request of this host. */
  private readonly pausedUntil = new Map<number, number>()

  constructor (private readonly parts: AnnouncementsParts) {}

  /**
   * @param pauseMs milliseconds for which the target wants no request of this host
   * @param requestId request that the target turned away
   */
  observe (target: TargetState, pauseMs: number, requestId: string | undefined, now: number): void {
    const until = this.pausedUntil.get(target.incarnationHash) ?? -Infinity
    const wasPaused = until > now
    // A shorter pause in the answer to another request that was sent before this pause doesn't end it.
    putBounded(this.pausedUntil, target.incarnationHash, Math.max(until, now + Math.min(MAX_PAUSE_MS, pauseMs)), MAX_TRACKED_TARGETS)
    if (wasPaused) return
    this.parts.metrics.countTargetAnnouncement('pause')
    this.parts.log.record('target asked for a pause', { target: target.entry.id, service: target.entry.service, pauseMs, requestId })
  }

  /** Returns the milliseconds until the target takes requests of this host again; 0 if it has asked for no pause. */
  computeWait (target: TargetState, now: number): number {
    return Math.max(0, (this.pausedUntil.get(target.incarnationHash) ?? -Infinity) - now)
  }
}
