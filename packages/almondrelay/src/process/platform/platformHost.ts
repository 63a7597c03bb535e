/** An entry of the platform's list of entry hosts and targets; the list may be out of date. */
export interface PlatformHost {
  name: string
  /** `entry` or `target`. */
  role: string
  availabilityZone: string
  region: string
  leaving: boolean
  callerAddress?: string
  peerAddress?: string
}
