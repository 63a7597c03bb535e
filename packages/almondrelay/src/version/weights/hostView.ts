/** What a host knows of one entry host and service when it answers a look-up. */
export interface HostView {
  name: string
  region: string
  /** Free slots of the targets that it owns, as last reported. */
  freeSlots: number
  /** Slots of the targets that it owns. */
  slots: number
  /** Age of the report, in milliseconds. */
  ageMs: number
  leaving: boolean
  /** False once it is suspected or gone. */
  reachable: boolean
}
