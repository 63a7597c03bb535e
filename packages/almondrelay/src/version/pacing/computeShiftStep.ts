import { PacingHold } from './pacingHold.js'
import type { PacingInput } from './pacingInput.js'
import type { ShiftStep } from './shiftStep.js'

/** Maximum share moved per second: look-up answers live for 2 s, so that the effect of a step is seen before three more follow. */
const MAX_SHARE_PER_SECOND = 0.1
/** Share of the receivers' headroom that one step may use; the rest stays free for their own callers. */
const HEADROOM_SHARE = 0.5
/** Maximum elapsed time that counts for one step. */
const MAX_ELAPSED_MS = 2_000

/**
 * Computes the share of new work that a drain or shift may move now.
 *
 * If a large load moved to idle, cold targets all at once, it would meet targets that answer
 * several times slower, and would exceed the limits of links and regions on its way. The share
 * therefore grows only up to the cap, by at most half of the receivers' headroom (what their
 * ramps allow beyond the running requests), and by at most a tenth per second, whichever is
 * the least. It shrinks immediately when the cap does.
 */
export function computeShiftStep (input: PacingInput, share: number, elapsedMs: number): ShiftStep {
  const demand = Math.max(1, input.demand)
  const bounds: ShiftStep[] = [
    { share: input.wantedShare, heldBy: PacingHold.done },
    { share: (input.cap ?? Infinity) / demand, heldBy: PacingHold.cap },
    { share: share + Math.max(0, input.receiversHeadroom) * HEADROOM_SHARE / demand, heldBy: PacingHold.receivers },
    { share: share + MAX_SHARE_PER_SECOND * Math.min(MAX_ELAPSED_MS, Math.max(0, elapsedMs)) / 1_000, heldBy: PacingHold.rate }
  ]
  const least = bounds.reduce((one, other) => other.share < one.share ? other : one)
  const isDone = least.heldBy === PacingHold.done
  if (isDone && input.running > 0 && input.wantedShare >= 1) return { share: least.share, heldBy: PacingHold.running }
  return { share: Math.max(0, least.share), heldBy: least.heldBy }
}
