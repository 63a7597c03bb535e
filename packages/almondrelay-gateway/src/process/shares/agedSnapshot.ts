import type { OverloadSnapshot } from '../../request/overloadSnapshot.js'

/** Shares of one overloaded service, as computed from counts made some time ago. */
export interface AgedSnapshot {
  snapshot: OverloadSnapshot
  /** Milliseconds since the oldest of the counts was made. */
  ageMs: number
}
