/** Time over which demand is averaged, in milliseconds: long against one answer, short against a working day. */
const AVERAGING_MS = 5_000
/**
 * Slots kept above the mean demand, in square roots of it (square-root staffing): the
 * number in service of a Poisson stream of mean `a` has the standard deviation sqrt(a).
 */
const SPARE_FACTOR = 0.5
/** Part of the slots that long work always may use, so that a flood of short work can't starve it. */
const LONG_MIN_SHARE = 0.25

/**
 * How many slots the short work needs, learnt from what arrives.
 *
 * Answers long jobs among short ones: without slots kept for them, short requests wait
 * for the end of jobs 50 times their length whenever those hold every slot. A fixed part
 * would be wasted where little short work comes, and too small where much does.
 */
export class ShortDemand {
  /** Milliseconds of work that arrived, decayed. */
  private workMs = 0
  private advancedAt = 0

  add (costMs: number, now: number): void {
    this.advance(now)
    this.workMs += costMs
  }

  /** The most slots of `capacity` that long work may hold at once; at least one. */
  limitLong (capacity: number, now: number): number {
    this.advance(now)
    const demand = this.workMs / AVERAGING_MS
    const longMin = Math.max(1, Math.floor(capacity * LONG_MIN_SHARE))
    if (demand < 0.01) return Math.max(longMin, capacity)
    const kept = Math.ceil(demand + SPARE_FACTOR * Math.sqrt(demand))
    return Math.max(longMin, capacity - kept)
  }

  private advance (now: number): void {
    if (now <= this.advancedAt) return
    this.workMs *= Math.exp((this.advancedAt - now) / AVERAGING_MS)
    this.advancedAt = now
  }
}
