import type { PacingHold } from './pacingHold.js'

/** The share that a shift may move now, and what limits it. */
export interface ShiftStep {
  share: number
  heldBy: PacingHold
}
