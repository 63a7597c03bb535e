/** Part of the operators' bound on shifts that unplanned moves may use. */
const USED_PART = 0.45
/** Moves that may come at once. */
const BURST = 3

/**
 * How many requests may leave the region of their key unplanned, because another one answers sooner just now.
 *
 * Answers short queues: moving a few requests is better than letting them wait, moving them all at
 * once floods another region and passes the operators' bound on shifts.
 */
export class AwayAllowance {
  private tokens = BURST

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
