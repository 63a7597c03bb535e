import type { AttemptResult } from '../../request/attemptResult.js'

/** Outcome of an attempt that was sent by way of other hosts. */
export interface CarryOutcome {
  result: AttemptResult
  /** Name of the host that carried the attempt, or that was asked last; undefined if there was none to ask. */
  carrier: string | undefined
  /** Whether a broken attempt is the fault of the way to the carrier, and says nothing about the target. */
  isCarrierFault: boolean
}
