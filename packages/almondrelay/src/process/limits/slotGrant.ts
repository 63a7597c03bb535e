import type { RosterHost } from './rosterHost.js'

/** A grant of a target's rest by its holder, timed on the holder's own clock. */
export interface SlotGrant {
  to: RosterHost
  /** Time until which work begun on the grant may run: the end of the term plus the longest deadline. */
  busyUntil: number
}
