/** Share of the operators' bound on shifts between regions that spilled requests may use; planned steps use most of the rest. */
const USED_PART = 0.45
/** Maximum number of requests that may spill at once. */
const BURST = 3

/**
 * Limits how many requests may leave their key's home region unplanned, because another region would answer sooner at the moment.
 *
 * Spilling a few requests keeps them out of a short queue. Spilling all of them at once would flood another region and exceed the
 * operators' bound on shifts. Implemented as a token bucket: each request of the service adds a fraction of a token.
 */
export class AwayAllowance {
  private tokens = BURST

  /** @param shiftPart the operators' bound: share of the requests that may change their region from one window to the next */
  constructor (private readonly shiftPart: number) {}

  observeRequest (): void {
    this.tokens = Math.min(BURST, this.tokens + this.shiftPart * USED_PART)
  }

  allow (): boolean {
    return this.tokens >= 1
  }

  use (): void {
    this.tokens -= 1
  }
}
