import type { TargetState } from './targetState.js'

/** A target with what was expected of it. */
export interface TargetChoice {
  target: TargetState
  /** Milliseconds until the answer is here. */
  expectedMs: number
  /** The same with what its failures and its load on others are taken to cost; by this targets are compared. */
  costMs: number
  /** The part of it for the work itself and the part for the trip. */
  workMs: number
  waitMs: number
  tripMs: number
  /** Place of the target in the order of the key; 0 is the one that holds the object. */
  rank: number
  outstanding: number
  /** The target is taken to hold the object. */
  isWarm: boolean
}
