import type { PartGrant } from './partGrant.js'
import type { RosterHost } from './rosterHost.js'

/** A host's record of a part that it has handed over. */
export interface GivenPart {
  to: RosterHost
  /** Key of the view at which the part was handed over. */
  viewKey: string
  /** Monotonic time of the hand-over. */
  at: number
  /** Grants that were binding at that time. */
  grants: PartGrant[]
}
