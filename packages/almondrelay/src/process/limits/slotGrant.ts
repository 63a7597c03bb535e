import type { RosterHost } from './rosterHost.js'

/** What the holder of a target's rest has granted, on its own clock. */
export interface SlotGrant {
  to: RosterHost
  /** Until when work begun on the grant may run: the term, and then the longest deadline. */
  busyUntil: number
}
