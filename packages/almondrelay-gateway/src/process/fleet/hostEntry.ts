/** Entry of a host in the platform's store. */
export interface HostEntry {
  name: string
  /** Distinguishes the runs of the host's process. */
  incarnation: string
  availabilityZone: string
  region: string
  ip: string
  /** Port on which the host serves callers. */
  callerPort: number
  /** UDP port on which the host receives reports from its peers. */
  peerPort: number
  /** Era of the store in which the entry was written; absent in the entries of hosts that don't know of eras. */
  storeEra?: number | undefined
}
