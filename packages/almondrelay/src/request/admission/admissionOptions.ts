/** Limits of one admission queue. */
export interface AdmissionOptions {
  /** Maximum number of waiting requests. */
  maxQueued: number
  /** Longest expected wait of short work, in milliseconds; further requests are refused. */
  maxWaitMs: number
  /** Expected cost, in milliseconds of one slot, until a first request has been measured. */
  initialCostMs: number
}
