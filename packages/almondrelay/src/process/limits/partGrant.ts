import type { RosterHost } from './rosterHost.js'

/** A right to use a part, or some of its capacity, that its holder has granted to another host. */
export interface PartGrant {
  /** Empty where a part has at most one grant. */
  id: string
  to: RosterHost
  amount: number
  /** Size of the limit when the right was granted. */
  limit: number
  /** Milliseconds for which new work may begin on the grant. */
  termMs: number
  /** Milliseconds for which such work may run. */
  busyMs: number
}
