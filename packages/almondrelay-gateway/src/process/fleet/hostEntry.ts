/** What an entry host says of itself in the platform's store. */
export interface HostEntry {
  name: string
  /** Tells two starts of the same host apart. */
  incarnation: string
  availabilityZone: string
  region: string
  ip: string
  /** Port on which it serves callers. */
  callerPort: number
  /** Port on which it hears its peers. */
  peerPort: number
}
