const WINDOW_MS = 1_000

/** Counts calls in fixed windows of a second. */
export class CallRate {
  private windowStart = -Infinity
  private count = 0

  /** Counts the call and says whether it is within `limit` calls a second. */
  allow (limit: number, now: number): boolean {
    if (now - this.windowStart >= WINDOW_MS) {
      this.windowStart = now
      this.count = 0
    }
    this.count += 1
    return this.count <= limit
  }
}
