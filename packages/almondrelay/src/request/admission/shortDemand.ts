/** Time constant of the demand's moving average, in milliseconds: long compared with one answer, short compared with a working day. */
const AVERAGING_MS = 5_000
/**
 * Slots reserved above the mean demand, in square roots of the demand (square-root staffing): for
 * Poisson arrivals, the number of requests in service with mean `a` has the standard deviation sqrt(a).
 */
const SPARE_FACTOR = 0.5
/** Share of the slots that long work may always use, so that a large amount of short work can't starve it. */
const MIN_LONG_SHARE = 0.25

/**
 * Estimates the number of slots that short work needs from the arriving requests.
 *
 * Without reserved slots, short requests wait for jobs of 50 times their length whenever
 * such jobs occupy every slot. A fixed share of the slots would be wasted when little short
 * work arrives, and too small when much does.
 */
export class ShortDemand {
  /** Exponentially decayed sum of the work that has arrived, in milliseconds of one slot. */
  private workMs = 0
  private advancedAt = 0

  add (costMs: number, now: number): void {
    this.advance(now)
    this.workMs += costMs
  }

  /** Maximum number of the `capacity` slots that long work may use at once; at least one. */
  computeLongLimit (capacity: number, now: number): number {
    this.advance(now)
    const demand = this.workMs / AVERAGING_MS
    const minLongSlots = Math.max(1, Math.floor(capacity * MIN_LONG_SHARE))
    if (demand < 0.01) return Math.max(minLongSlots, capacity)
    const reservedSlots = Math.ceil(demand + SPARE_FACTOR * Math.sqrt(demand))
    return Math.max(minLongSlots, capacity - reservedSlots)
  }

  private advance (now: number): void {
    if (now <= this.advancedAt) return
    this.workMs *= Math.exp((this.advancedAt - now) / AVERAGING_MS)
    this.advancedAt = now
  }
}
