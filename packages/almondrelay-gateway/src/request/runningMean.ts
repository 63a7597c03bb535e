/** Samples after which an estimate goes by what was measured alone. */
const FULL_SAMPLES = 6

/** Mean of all samples at first, then of the last ones. */
export class RunningMean {
  private samples = 0
  private mean = 0

  /** @param gain weight of one sample once there are many */
  constructor (private readonly gain: number) {}

  get hasSamples (): boolean {
    return this.samples > 0
  }

  learn (value: number): void {
    this.samples += 1
    this.mean += (value - this.mean) * Math.max(this.gain, 1 / this.samples)
  }

  /** The mean, or with few samples a value between it and what is expected without any. */
  estimate (expected: number): number {
    return expected + (this.mean - expected) * Math.min(1, this.samples / FULL_SAMPLES)
  }
}
