/** Parts into which a window is cut; a count may lag by one part. */
const PARTS = 20

/** Number of events within a sliding window of monotonic time. */
export class SlidingCount {
  private readonly counts = new Array<number>(PARTS + 1).fill(0)
  private readonly partMs: number
  private head = 0
  private headPart = 0

  /** @param windowMs length of the window in milliseconds */
  constructor (windowMs: number) {
    this.partMs = windowMs / PARTS
  }

  add (now: number): void {
    this.advance(now)
    this.counts[this.head] = (this.counts[this.head] ?? 0) + 1
  }

  /** Events of the last window, and of up to one part before it. */
  count (now: number): number {
    this.advance(now)
    return this.counts.reduce((sum, each) => sum + each, 0)
  }

  private advance (now: number): void {
    const part = Math.floor(now / this.partMs)
    const steps = Math.min(PARTS + 1, part - this.headPart)
    for (let step = 0; step < steps; step += 1) {
      this.head = (this.head + 1) % (PARTS + 1)
      this.counts[this.head] = 0
    }
    if (part > this.headPart) this.headPart = part
  }
}
