/** Share of the operators' bound on shifts between regions that spilled requests may use; planned steps use most of the rest. */
const SPILL_SHARE = 0.45
/** Maximum number of requests that may spill at once. */
const MAX_BURST_REQUESTS = 3

/**
 * Limits how many requests may leave their key's home region unplanned, because another region would answer sooner at the moment.
 *
 * Spilling a few requests keeps them out of a short queue. Spilling all of them at once would flood another region and exceed the
 * operators' bound on shifts. Implemented as a token bucket: each request of the service adds a fraction of a token.
 */
export class SpillAllowance {
  private tokens = MAX_BURST_REQUESTS

  /** @param shiftPart the operators' bound: share of the requests that may change their region from one window to the next */
  constructor (private readonly shiftPart: number) {}

  observeRequest (): void {
    this.tokens = Math.min(MAX_BURST_REQUESTS, this.tokens + this.shiftPart * SPILL_SHARE)
  }

  allow (): boolean {
    return this.tokens >= 1
  }

  use (): void {
    this.tokens -= 1
  }
}
