/** Last known state of one entry host and service, from which a look-up is answered. */
export interface HostView {
  name: string
  region: string
  /** Free slots of the targets that the host owns, as last reported. */
  freeSlots: number
  /** Slots of the targets that the host owns. */
  slots: number
  /** Age of the report, in milliseconds. */
  ageMs: number
  leaving: boolean
  /** False once the host is suspected or gone. */
  reachable: boolean
}
