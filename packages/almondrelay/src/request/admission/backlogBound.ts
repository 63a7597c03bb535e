/** A backlog that has not fallen below this share of its limit is a standing backlog. */
const STANDING_SHARE = 0.1
/** Longest burst during which the full limit applies, in milliseconds. */
const MAX_BURST_MS = 2_000
/** Share of the limit that applies to a standing backlog, and the minimum in jobs for each slot. */
const STANDING_LIMIT_SHARE = 0.3
const MIN_STANDING_JOBS = 4

/**
 * Limit of a backlog, in milliseconds of wait.
 *
 * A queue absorbs a burst, but under lasting overload a standing queue only adds its length
 * to the latency of every answer, while a short queue keeps the slots just as busy. The limit
 * therefore falls to a third after 2 s, and is restored when the queue has emptied.
 */
export class BacklogBound {
  private standingSince: number | undefined

  constructor (private readonly maxWaitMs: number) {}

  /** `backlogMs`: the backlog without the work of the hottest caller, which delays only that caller's own requests. */
  observe (backlogMs: number, now: number): void {
    if (backlogMs < STANDING_SHARE * this.maxWaitMs) this.standingSince = undefined
    else this.standingSince ??= now
  }

  limit (costMs: number, now: number): number {
    const isStanding = this.standingSince !== undefined && now - this.standingSince > MAX_BURST_MS
    if (!isStanding) return this.maxWaitMs
    return Math.min(this.maxWaitMs, Math.max(STANDING_LIMIT_SHARE * this.maxWaitMs, MIN_STANDING_JOBS * costMs))
  }
}
