interface LaggingHost {
  host: string
  revision: number
}

/** What holds in one availability zone. */
export interface ZoneStatus {
  availabilityZone: string
  region: string
  /** The lowest revision in force on a host that can be reached; absent where none can be. */
  revision?: number
  reachableHosts: number
  /** Hosts below the revision in force on the host that tells this. */
  laggingHosts: LaggingHost[]
  unreachableHosts: string[]
  /** Age of the oldest word that this is built on, in milliseconds. */
  knownAgeMs: number
}
