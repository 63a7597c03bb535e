/** Who this process is. */
export interface HostIdentity {
  host: string
  /** Milliseconds since the Unix epoch at which the process began. */
  incarnation: number
  region: string
  availabilityZone: string
}
