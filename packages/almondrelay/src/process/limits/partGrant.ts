import type { RosterHost } from './rosterHost.js'

/** The use of a part, or of some of it, that its holder has granted to another host. */
export interface PartGrant {
  /** Empty where a part has at most one grant. */
  id: string
  to: RosterHost
  amount: number
  /** Size of the limit when it was granted. */
  limit: number
  /** Milliseconds for which new work may begin on it. */
  termMs: number
  /** Milliseconds for which such work may run. */
  busyMs: number
}
