import { computeHash } from '../version/computeHash.js'
import { computePairHash } from '../version/computePairHash.js'

const HASH_RANGE = 2 ** 32
/** Length of the window, in milliseconds, for which the operators bound shifts between regions. */
const SHIFT_WINDOW_MS = 2_000
/** Share of the operators' bound that planned steps use; the rest is for requests that spill from a full region at once. */
const PLANNED_SHIFT_SHARE = 0.45
/**
 * Difference between planned and current shares at which a move begins, and at which it ends. The object of each key that moves
 * is worked on from scratch in its new region; small differences cost less than that. The threshold also keeps the shares with
 * which all hosts would begin after a common restart in force for longer.
 */
const MIN_DIFFERENCE_TO_START = 0.15
const MIN_DIFFERENCE_TO_CONTINUE = 0.03

/**
 * Shares of one service's requests that go to each region, moved in small steps.
 *
 * A plan follows load that is reported late, so a jump to each new plan would overshoot, flood targets that have none of the
 * objects cached, and swing back. Times are monotonic milliseconds.
 */
export class RegionShares {
  /** Share of the requests that goes to each region. */
  private parts: Map<string, number>
  private lastStepAt: number | undefined
  private isMoving = false

  /** @param shiftPart share of the requests that may change their region from one window to the next */
  constructor (private readonly ownRegion: string, private readonly shiftPart: number) {
    this.parts = new Map([[ownRegion, 1]])
  }

  /** Takes over shares unchanged, from a peer or from the first plan. */
  adopt (shares: ReadonlyMap<string, number>, now: number): void {
    this.parts = new Map(shares)
    this.lastStepAt = now
  }

  get hasPlan (): boolean {
    return this.lastStepAt !== undefined
  }

  getShares (): ReadonlyMap<string, number> {
    return this.parts
  }

  /** Moves the shares towards a plan, as far as the bound allows for the time since the last step. */
  moveTowards (plan: ReadonlyMap<string, number>, now: number): void {
    const elapsedMs = Math.min(SHIFT_WINDOW_MS / 4, now - (this.lastStepAt ?? now))
    this.lastStepAt = now
    const regions = new Set([...this.parts.keys(), ...plan.keys()])
    const gaps = [...regions].map((region) => ({ region, gap: (plan.get(region) ?? 0) - (this.parts.get(region) ?? 0) }))
    const change = gaps.reduce((sum, { gap }) => sum + Math.max(0, gap), 0)
    this.isMoving = change > (this.isMoving ? MIN_DIFFERENCE_TO_CONTINUE : MIN_DIFFERENCE_TO_START)
    if (!this.isMoving) return
    const step = Math.min(1, this.shiftPart * PLANNED_SHIFT_SHARE * elapsedMs / SHIFT_WINDOW_MS / change)
    for (const { region, gap } of gaps) this.parts.set(region, (this.parts.get(region) ?? 0) + gap * step)
  }

  /** Finds the home region of a key by rendezvous hashing weighted with the shares, so that a step moves as few keys as possible. */
  findHomeRegion (keyHash: number): string {
    let best = this.ownRegion
    let bestScore = -Infinity
    for (const [region, share] of this.parts) {
      const uniform = (computePairHash(computeHash(`region ${region}`), keyHash) + 1) / (HASH_RANGE + 1)
      const score = share / -Math.log(uniform)
      if (share <= 0 || score <= bestScore) continue
      best = region
      bestScore = score
    }
    return best
  }
}
