const WEIGHT = 0.02
/** An answer counts for at most this many times the norm: a tenfold slower target among two doesn't become the norm. */
const CLIP = 3

/** What is typical for a service at this host: the yardstick for each target's answers. */
export class LatencyNorm {
  /** Latency over the expected one, averaged over all targets. */
  ratio = 1

  learn (ratio: number): void {
    this.ratio += WEIGHT * (Math.min(ratio, CLIP * this.ratio) - this.ratio)
  }
}
