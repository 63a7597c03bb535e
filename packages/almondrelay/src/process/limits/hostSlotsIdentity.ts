/** The process, and its availability zone, that a HostSlots accounts for. */
export interface HostSlotsIdentity {
  host: string
  incarnation: number
  availabilityZone: string
}
