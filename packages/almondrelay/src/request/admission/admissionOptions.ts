/** Bounds of one admission queue. */
export interface AdmissionOptions {
  /** Requests that may wait. */
  maxQueued: number
  /** Longest wait, in milliseconds, that is let build up for short work. */
  maxWaitMs: number
  /** Cost, in milliseconds of one slot, of a route not yet seen. */
  initialCostMs: number
}
