import type { PacingHold } from './pacingHold.js'

/** Progress of a drain or shift. */
export interface PacingStatus {
  /** Share of new work that is sent elsewhere, 0 to 1. */
  movedShare: number
  /** Requests that still run on the source. */
  running: number
  heldBy: PacingHold
  /** Monotonic time in milliseconds since which `heldBy` is unchanged. */
  heldSince: number
  message: string
}
