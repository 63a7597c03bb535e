import type { PacingHold } from './pacingHold.js'

/** The share to which a shift may go now, and what kept it from more. */
export interface ShiftStep {
  share: number
  heldBy: PacingHold
}
