interface ZoneInForce {
  availabilityZone: string
  /** Absent where no host of the zone can be reached. */
  revision?: number
  isInForce: boolean
}

/** What holds of a resource, not what was asked for. */
export interface ResourceStatus {
  /** Whether every host that is known has the revision that last changed it. */
  isInForce: boolean
  zones: ZoneInForce[]
  laggingHosts: string[]
  unreachableHosts: string[]
  /** Of a Drain: requests still running on what is drained. */
  workLeft?: number
  /** Of a Region, Link or ShiftCap: requests in flight, beside its limit. */
  carried?: number
  limit?: number
}
