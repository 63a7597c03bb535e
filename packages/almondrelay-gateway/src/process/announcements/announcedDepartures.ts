import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'
import type { AnnouncementsParts } from './announcementsParts.js'

/** Maximum targets whose departures are kept, several times those of the largest fleet; the oldest are dropped. */
const MAX_TARGETS = 20_000

/** Targets that have announced in an answer that they are leaving, by their incarnations. */
export class AnnouncedDepartures {
  private readonly departures = new Map<number, { heardAt: number }>()

  constructor (private readonly parts: AnnouncementsParts) {}

  /** @param requestId request whose answer announced the departure */
  observe (target: TargetState, requestId: string | undefined, now: number): void {
    if (this.departures.has(target.incarnationHash)) return
    putBounded(this.departures, target.incarnationHash, { heardAt: now }, MAX_TARGETS)
    this.parts.metrics.countTargetAnnouncement('leaving')
    this.parts.log.record('target announced that it is leaving', { target: target.entry.id, service: target.entry.service, requestId })
  }
}
