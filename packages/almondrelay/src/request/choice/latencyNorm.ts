const WEIGHT = 0.02
/** An answer counts for at most this many times the norm: a tenfold slower target among two doesn't become the norm. */
const CLIP = 3
const FIRST_MEAN_MS = 20

/** What is typical for a service at this host: the yardstick for each target's answers. */
export class LatencyNorm {
  /** Mean latency in milliseconds; the expected one where a caller of `start` states none. */
  meanMs = FIRST_MEAN_MS
  /** Latency over the expected one, averaged over all targets. */
  ratio = 1
  private answers = 0

  learn (latencyMs: number, ratio: number): void {
    this.answers += 1
    const weight = Math.max(WEIGHT, 1 / this.answers)
    this.meanMs += weight * (Math.min(latencyMs, this.answers === 1 ? latencyMs : CLIP * this.meanMs) - this.meanMs)
    this.ratio += WEIGHT * (Math.min(ratio, CLIP * this.ratio) - this.ratio)
  }
}
