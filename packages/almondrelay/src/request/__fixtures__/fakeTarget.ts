/** Number of answers after which half of the extra service time of a cold cache is gone. */
const WARMING_ANSWERS = 20

/** A target in virtual time: computes service times, and counts the running requests, which must not exceed its slots. */
export class FakeTarget {
  /** Factor by which service times are longer than usual. */
  factor = 1
  /** Whether the target accepts requests and never answers. */
  isSilent = false
  /** Factor by which service times are longer at first, while caches are cold; 1 for a warm target. */
  coldFactor = 1
  running = 0
  maxRunning = 0
  private answers = 0

  constructor (readonly name: string, readonly slots: number) {}

  get free (): number {
    return this.slots - this.running
  }

  start (): void {
    this.running += 1
    this.maxRunning = Math.max(this.maxRunning, this.running)
  }

  finish (): void {
    this.running -= 1
  }

  countAnswer (): void {
    this.answers += 1
  }

  computeServiceTime (workMs: number): number {
    if (this.isSilent) return Infinity
    const cold = 1 + (this.coldFactor - 1) * Math.pow(0.5, this.answers / WARMING_ANSWERS)
    return workMs * this.factor * cold
  }
}
