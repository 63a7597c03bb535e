import type { TargetState } from './targetState.js'

/** A target, with the estimates by which it was chosen. */
export interface TargetChoice {
  target: TargetState
  /** Milliseconds until the answer is expected. */
  expectedMs: number
  /** `expectedMs` plus the cost of the target's failures and of the load on later requests; targets are compared by this. */
  costMs: number
  /** Factor by which the target stated that its work takes longer, faded with the age of the statement; undefined where none is known. */
  statedSlowness?: number | undefined
  /** Age of that statement in milliseconds. */
  statedAgeMs?: number | undefined
  /** Components of `expectedMs`: the work itself, the wait in the queue, and the round trip. */
  workMs: number
  waitMs: number
  roundTripMs: number
  /** Position of the target in the key's order; 0 is the preferred target. */
  rank: number
  /** Requests at the target from all hosts, as far as known. */
  outstanding: number
  /** Whether the target is assumed to have the object cached, as this host recently had it work on the object. */
  isCached: boolean
}
