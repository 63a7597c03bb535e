import type { PartGrant } from './partGrant.js'
import type { RosterHost } from './rosterHost.js'

/** What a host remembers of a part that it has given up. */
export interface GivenPart {
  to: RosterHost
  /** View at which it was given up. */
  viewKey: string
  at: number
  /** Grants that bound at that time. */
  grants: PartGrant[]
}
