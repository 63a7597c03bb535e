import { PacingHold } from './pacingHold.js'
import type { PacingInput } from './pacingInput.js'
import type { ShiftStep } from './shiftStep.js'

/** Share moved in a second at most: look-up answers live 2 s, so what a step does is seen before three more follow. */
const MAX_SHARE_PER_SECOND = 0.1
/** Part of the receivers' headroom that one step may take; the rest stays for their own callers. */
const HEADROOM_PART = 0.5
/** Steps are taken as for at most this long a pause. */
const MAX_ELAPSED_MS = 2_000

/**
 * Computes how far a drain or shift may go now.
 *
 * Answers a big move on to idle, cold targets: moved at once, the whole load meets targets
 * that answer several times slower and passes the link's or region's limit on its way.
 * The share grows by what the cap leaves, by half of what the receivers' ramps allow
 * beyond what runs there, and by a tenth a second, whichever is least. It goes back at
 * once where the cap shrinks.
 */
export function computeShiftStep (input: PacingInput, share: number, elapsedMs: number): ShiftStep {
  const demand = Math.max(1, input.demand)
  const bounds: ShiftStep[] = [
    { share: input.wantedShare, heldBy: PacingHold.done },
    { share: (input.cap ?? Infinity) / demand, heldBy: PacingHold.cap },
    { share: share + Math.max(0, input.receiversHeadroom) * HEADROOM_PART / demand, heldBy: PacingHold.receivers },
    { share: share + MAX_SHARE_PER_SECOND * Math.min(MAX_ELAPSED_MS, Math.max(0, elapsedMs)) / 1_000, heldBy: PacingHold.rate }
  ]
  const least = bounds.reduce((one, other) => other.share < one.share ? other : one)
  const isDone = least.heldBy === PacingHold.done
  if (isDone && input.running > 0 && input.wantedShare >= 1) return { share: least.share, heldBy: PacingHold.running }
  return { share: Math.max(0, least.share), heldBy: least.heldBy }
}
