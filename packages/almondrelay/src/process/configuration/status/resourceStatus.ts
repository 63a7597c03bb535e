interface ZoneInForce {
  availabilityZone: string
  /** Absent where no host of the zone can be reached. */
  revision?: number
  isInForce: boolean
}

/** Observed status of a resource, as opposed to its requested state. */
export interface ResourceStatus {
  /** Whether every known host has the revision that last changed the resource. */
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
