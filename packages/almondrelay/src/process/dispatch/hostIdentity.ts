/** Identity and location of this process. */
export interface HostIdentity {
  host: string
  /** Start time of the process, in milliseconds since the Unix epoch. */
  incarnation: number
  region: string
  availabilityZone: string
}
