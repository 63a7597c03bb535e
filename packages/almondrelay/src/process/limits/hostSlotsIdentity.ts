/** Which process of which zone keeps these slots. */
export interface HostSlotsIdentity {
  host: string
  incarnation: number
  availabilityZone: string
}
