/** A backlog that never fell below this part of its bound is a standing one. */
const STANDING_PART = 0.1
/** Longest burst that the full bound is kept for, in milliseconds. */
const BURST_MS = 2_000
/** Part of the bound that is left to a standing backlog, and the least in jobs for each slot. */
const STANDING_BOUND_PART = 0.3
const STANDING_MIN_JOBS = 4

/**
 * How long a backlog may get, in milliseconds of wait.
 *
 * Answers overload that lasts: a queue absorbs a burst, but once it has stood for longer
 * than a burst it only adds its length to every answer; the slots are as busy with a short
 * one. So the bound falls to a third after 2 s and comes back when the queue has emptied.
 */
export class BacklogBound {
  private standingSince: number | undefined

  constructor (private readonly maxWaitMs: number) {}

  /** `backlogMs`: without the hottest caller's part, which waits behind itself and harms no other. */
  observe (backlogMs: number, now: number): void {
    if (backlogMs < STANDING_PART * this.maxWaitMs) this.standingSince = undefined
    else this.standingSince ??= now
  }

  limit (costMs: number, now: number): number {
    const isStanding = this.standingSince !== undefined && now - this.standingSince > BURST_MS
    if (!isStanding) return this.maxWaitMs
    return Math.min(this.maxWaitMs, Math.max(STANDING_BOUND_PART * this.maxWaitMs, STANDING_MIN_JOBS * costMs))
  }
}
