/** Number of buckets into which a window is divided; a count may lag by one bucket. */
const BUCKETS = 20

/** Counts events within a sliding window of monotonic time. */
export class SlidingWindowCounter {
  private readonly counts = new Array<number>(BUCKETS + 1).fill(0)
  private readonly bucketMs: number
  private head = 0
  private headBucket = 0
  /** Sum of all buckets, so that a count doesn't have to add them up. */
  private sum = 0

  /** @param windowMs length of the window in milliseconds */
  constructor (windowMs: number) {
    this.bucketMs = windowMs / BUCKETS
  }

  add (now: number, amount = 1): void {
    this.advance(now)
    this.counts[this.head] = (this.counts[this.head] ?? 0) + amount
    this.sum += amount
  }

  /** Takes back an event that was counted at an earlier time; does nothing where the window has moved past that time. */
  remove (at: number, now: number): void {
    this.advance(now)
    const bucketsBack = this.headBucket - Math.floor(at / this.bucketMs)
    if (bucketsBack < 0 || bucketsBack > BUCKETS) return
    const index = (this.head - bucketsBack + BUCKETS + 1) % (BUCKETS + 1)
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
    const wholeBuckets = Math.min(BUCKETS, Math.round(spanMs / this.bucketMs))
    const elapsed = now / this.bucketMs - this.headBucket
    let events = this.getBucketCount(wholeBuckets) * (1 - elapsed)
    for (let back = 0; back < wholeBuckets; back += 1) events += this.getBucketCount(back)
    return events
  }

  /** @param back number of buckets before the current one */
  private getBucketCount (back: number): number {
    return this.counts[(this.head - back + BUCKETS + 1) % (BUCKETS + 1)] ?? 0
  }

  private advance (now: number): void {
    const bucket = Math.floor(now / this.bucketMs)
    const steps = Math.min(BUCKETS + 1, bucket - this.headBucket)
    for (let step = 0; step < steps; step += 1) {
      this.head = (this.head + 1) % (BUCKETS + 1)
      this.sum -= this.counts[this.head] ?? 0
      this.counts[this.head] = 0
    }
    if (bucket > this.headBucket) this.headBucket = bucket
  }
}
