import type { RosterHost } from './rosterHost.js'

/** The entry hosts of one availability zone, as the platform key `roster/<availabilityZone>` holds them. */
export interface Roster {
  /** Grows by one with each join or loss; 1 for the first roster of the zone. */
  version: number
  availabilityZone: string
  hosts: RosterHost[]
  /** Version that last took a host out; 0 for none so far. Where it is absent, any version may have. */
  lastLossVersion?: number
}
