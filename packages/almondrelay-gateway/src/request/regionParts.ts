import { computeHash } from '../version/computeHash.js'
import { computePairHash } from '../version/computePairHash.js'

const HASH_RANGE = 2 ** 32
/** Milliseconds of the window in which the operators bound a shift. */
const SHIFT_WINDOW_MS = 2_000
/** Part of the operators' bound that planned steps use; the rest is for requests that leave a full region at once. */
const USED_PART = 0.45
/**
 * Difference between plan and parts at which a move begins and at which it ends. Each key that moves is worked on anew
 * where it arrives; small differences cost less than that, and the parts that every host would begin with
 * after a restart of all stay in force for longer.
 */
const MOVE_FROM = 0.15
const MOVE_TO = 0.03

/**
 * The parts of one service's requests that go to each region, moved in small steps.
 *
 * Answers plans that change at once: a plan follows load that lags, so a jump to it overshoots, floods
 * targets that hold none of the objects and swings back. Times are monotonic milliseconds.
 */
export class RegionParts {
  private parts: Map<string, number>
  private movedAt: number | undefined
  private isMoving = false

  /** @param shiftPart part of the requests that may change their region from one window to the next */
  constructor (private readonly own: string, private readonly shiftPart: number) {
    this.parts = new Map([[own, 1]])
  }

  /** Takes parts over as they are, from a peer or for the first plan. */
  adopt (parts: ReadonlyMap<string, number>, now: number): void {
    this.parts = new Map(parts)
    this.movedAt = now
  }

  get isPlanned (): boolean {
    return this.movedAt !== undefined
  }

  getParts (): ReadonlyMap<string, number> {
    return this.parts
  }

  /** Goes towards a plan as far as the bound allows for the time since the last step. */
  moveTowards (plan: ReadonlyMap<string, number>, now: number): void {
    const elapsedMs = Math.min(SHIFT_WINDOW_MS / 4, now - (this.movedAt ?? now))
    this.movedAt = now
    const regions = new Set([...this.parts.keys(), ...plan.keys()])
    const gaps = [...regions].map((region) => ({ region, gap: (plan.get(region) ?? 0) - (this.parts.get(region) ?? 0) }))
    const change = gaps.reduce((sum, { gap }) => sum + Math.max(0, gap), 0)
    this.isMoving = change > (this.isMoving ? MOVE_TO : MOVE_FROM)
    if (!this.isMoving) return
    const step = Math.min(1, this.shiftPart * USED_PART * elapsedMs / SHIFT_WINDOW_MS / change)
    for (const { region, gap } of gaps) this.parts.set(region, (this.parts.get(region) ?? 0) + gap * step)
  }

  /** The region in which a key has its place, by weighted rendezvous hashing: a step moves as few keys as it can. */
  findRegion (keyHash: number): string {
    let best = this.own
    let bestScore = -Infinity
    for (const [region, part] of this.parts) {
      const chance = (computePairHash(computeHash(`region ${region}`), keyHash) + 1) / (HASH_RANGE + 1)
      const score = part / -Math.log(chance)
      if (part <= 0 || score <= bestScore) continue
      best = region
      bestScore = score
    }
    return best
  }
}
