const ANSWER_WEIGHT = 0.02
/**
 * An answer counts for at most this many times the typical ratio, so that one of two targets that is ten times slower
 * does not become typical.
 */
const MAX_RATIO_FACTOR = 3

/** The typical latency of a service at this host, against which each target's answers are compared. */
export class LatencyNorm {
  /** Measured latency divided by the expected latency, averaged over all targets. */
  ratio = 1

  recordRatio (ratio: number): void {
    this.ratio += ANSWER_WEIGHT * (Math.min(ratio, MAX_RATIO_FACTOR * this.ratio) - this.ratio)
  }
}
