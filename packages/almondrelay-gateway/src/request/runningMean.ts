/** Number of samples from which on an estimate depends on the measurements alone. */
const FULL_WEIGHT_SAMPLES = 6

/** Mean of all samples at first, later weighted towards the most recent ones. */
export class RunningMean {
  private samples = 0
  private mean = 0

  /** @param gain weight of one sample once there are many */
  constructor (private readonly gain: number) {}

  get hasSamples (): boolean {
    return this.samples > 0
  }

  add (value: number): void {
    this.samples += 1
    this.mean += (value - this.mean) * Math.max(this.gain, 1 / this.samples)
  }

  /** Returns the mean or, with few samples, a value between the mean and what is expected without any samples. */
  estimate (expected: number): number {
    return expected + (this.mean - expected) * Math.min(1, this.samples / FULL_WEIGHT_SAMPLES)
  }
}
