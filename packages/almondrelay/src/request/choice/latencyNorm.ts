const WEIGHT = 0.02
/**
 * An answer counts for at most this many times the typical ratio, so that one of two targets that is ten times slower
 * does not become typical.
 */
const CLIP = 3

/** The typical latency of a service at this host, against which each target's answers are compared. */
export class LatencyNorm {
  /** Measured latency divided by the expected latency, averaged over all targets. */
  ratio = 1

  learn (ratio: number): void {
    this.ratio += WEIGHT * (Math.min(ratio, CLIP * this.ratio) - this.ratio)
  }
}
