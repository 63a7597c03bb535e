/** An entry of the platform's lagging list of machines: entry hosts and targets. */
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
