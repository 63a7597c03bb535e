/** Time constant in milliseconds: short enough to see a burst within a second. */
const TIME_CONSTANT_MS = 500

/** Rate of an amount a second as a mean that forgets the past exponentially. */
export class DecayingRate {
  private sum = 0
  private updatedAt = 0

  add (amount: number, now: number): void {
    this.sum = this.computeSum(now) + amount
    this.updatedAt = now
  }

  /** Returns the amount a second. */
  estimate (now: number): number {
    return this.computeSum(now) / TIME_CONSTANT_MS * 1_000
  }

  private computeSum (now: number): number {
    return this.sum * Math.exp(-Math.max(0, now - this.updatedAt) / TIME_CONSTANT_MS)
  }
}
