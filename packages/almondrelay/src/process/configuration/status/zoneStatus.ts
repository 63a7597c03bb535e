interface LaggingHost {
  host: string
  revision: number
}

/** Configuration status of one availability zone. */
export interface ZoneStatus {
  availabilityZone: string
  region: string
  /** The lowest revision in force on a host that can be reached; absent where none can be. */
  revision?: number
  reachableHosts: number
  /** Hosts below the revision in force on the host that gives this status. */
  laggingHosts: LaggingHost[]
  unreachableHosts: string[]
  /** Age of the oldest report from which this status was computed, in milliseconds. */
  knownAgeMs: number
}
