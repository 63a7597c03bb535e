/** Answers that half warm a cold cache. */
const WARMING_ANSWERS = 20

/** A target in virtual time: how long a request takes there, and a count that must not pass its slots. */
export class FakeTarget {
  /** Times longer than usual. */
  factor = 1
  /** Accepts and never answers. */
  isSilent = false
  /** Times longer at first, while its caches are cold; 1 when warm. */
  coldFactor = 1
  running = 0
  mostRunning = 0
  private answers = 0

  constructor (readonly name: string, readonly slots: number) {}

  get free (): number {
    return this.slots - this.running
  }

  start (): void {
    this.running += 1
    this.mostRunning = Math.max(this.mostRunning, this.running)
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
