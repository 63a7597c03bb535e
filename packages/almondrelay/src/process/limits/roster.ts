import type { RosterHost } from './rosterHost.js'

/** The entry hosts of one availability zone, as the platform key `roster/<availabilityZone>` holds them. */
export interface Roster {
  /** Incremented with each join or loss; 1 for the first roster of the zone. */
  version: number
  availabilityZone: string
  hosts: RosterHost[]
  /** Last version that removed a host; 0 if none has so far. Where it is absent, any version may have removed one. */
  lastLossVersion?: number
}
