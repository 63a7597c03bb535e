import { match } from 'ts-pattern'
import { computeShiftStep } from './computeShiftStep.js'
import { PacingHold } from './pacingHold.js'
import type { PacingInput } from './pacingInput.js'
import type { PacingStatus } from './pacingStatus.js'

/**
 * Paces one drain or shift, and reports its progress and what limits it.
 *
 * It is meant for zones and regions, whose work is more than others can take over at once. The
 * drain of a single target needs no pacing: the target simply gets no new work.
 */
export class DrainPacer {
  private share = 0
  private advancedAt: number | undefined
  private heldBy: PacingHold = PacingHold.rate
  private heldSince = 0

  /** Share of new work, 0 to 1, that is sent elsewhere. */
  get movedShare (): number {
    return this.share
  }

  advance (input: PacingInput, now: number): PacingStatus {
    const step = computeShiftStep(input, this.share, now - (this.advancedAt ?? now))
    if (this.advancedAt === undefined || step.heldBy !== this.heldBy) this.heldSince = now
    this.advancedAt = now
    this.share = step.share
    this.heldBy = step.heldBy
    return {
      movedShare: this.share,
      running: input.running,
      heldBy: this.heldBy,
      heldSince: this.heldSince,
      message: describeHold(this.heldBy, this.share, input)
    }
  }
}

function describeHold (heldBy: PacingHold, share: number, input: PacingInput): string {
  const moved = `${Math.round(share * 100)}% of new work moved`
  return match(heldBy)
    .with(PacingHold.done, () => `${moved}; done`)
    .with(PacingHold.cap, () => `${moved}; the cap of ${input.cap ?? 0} in flight has no room: raise it or wait for the load to fall`)
    .with(PacingHold.receivers, () => `${moved}; the receiving targets can take ${Math.max(0, Math.floor(input.receiversHeadroom))} more for now: they are warming up or busy`)
    .with(PacingHold.rate, () => `${moved}; it moves on by a tenth a second`)
    .with(PacingHold.running, () => `${moved}; ${input.running} requests still run`)
    .exhaustive()
}
