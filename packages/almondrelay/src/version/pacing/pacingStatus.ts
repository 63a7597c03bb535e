import type { PacingHold } from './pacingHold.js'

/** How far a drain or shift is. */
export interface PacingStatus {
  /** Share of new work that goes elsewhere, 0 to 1. */
  movedShare: number
  /** Requests in flight that still run on the source. */
  running: number
  heldBy: PacingHold
  /** Monotonic milliseconds since which the same thing holds it back. */
  heldSince: number
  message: string
}
