/** Number of buckets into which a window is divided; a count may lag by one bucket. */
const PARTS = 20

/** Counts events within a sliding window of monotonic time. */
export class SlidingCount {
  private readonly counts = new Array<number>(PARTS + 1).fill(0)
  private readonly partMs: number
  private head = 0
  private headPart = 0
  /** Sum of all buckets, so that a count doesn't have to add them up. */
  private sum = 0

  /** @param windowMs length of the window in milliseconds */
  constructor (windowMs: number) {
    this.partMs = windowMs / PARTS
  }

  add (now: number, amount = 1): void {
    this.advance(now)
    this.counts[this.head] = (this.counts[this.head] ?? 0) + amount
    this.sum += amount
  }

  /** Takes back an event that was counted at an earlier time; does nothing where the window has moved past that time. */
  remove (at: number, now: number): void {
    this.advance(now)
    const parts = this.headPart - Math.floor(at / this.partMs)
    if (parts < 0 || parts > PARTS) return
    const index = (this.head - parts + PARTS + 1) % (PARTS + 1)
    this.counts[index] = (this.counts[index] ?? 0) - 1
    this.sum -= 1
  }

  /** Counts the events of the last window, and of up to one bucket before it. */
  count (now: number): number {
    this.advance(now)
    return this.sum
  }

  /**
   * Estimates the events of the last `spanMs` milliseconds; the oldest bucket counts by its overlap with them.
   *
   * @param spanMs a multiple of the bucket length, at most the window
   */
  estimate (now: number, spanMs: number): number {
    this.advance(now)
    const parts = Math.min(PARTS, Math.round(spanMs / this.partMs))
    const elapsed = now / this.partMs - this.headPart
    let events = this.getCount(parts) * (1 - elapsed)
    for (let back = 0; back < parts; back += 1) events += this.getCount(back)
    return events
  }

  /** @param back number of buckets before the current one */
  private getCount (back: number): number {
    return this.counts[(this.head - back + PARTS + 1) % (PARTS + 1)] ?? 0
  }

  private advance (now: number): void {
    const part = Math.floor(now / this.partMs)
    const steps = Math.min(PARTS + 1, part - this.headPart)
    for (let step = 0; step < steps; step += 1) {
      this.head = (this.head + 1) % (PARTS + 1)
      this.sum -= this.counts[this.head] ?? 0
      this.counts[this.head] = 0
    }
    if (part > this.headPart) this.headPart = part
  }
}
