/** Last known state of an entry host, as far as request dispatch needs it. */
export interface KnownHost {
  name: string
  incarnation: number
  region: string
  availabilityZone: string
  callerAddress: string
  peerAddress: string
  /** The host has announced its planned stop. */
  leaving: boolean
  /** A report of the host was received recently; if false, no new requests are sent to the host. */
  reachable: boolean
  /** There is definitive evidence that this incarnation has ended. */
  gone: boolean
  /** Free slots by service, as last reported by the host. */
  freeSlots: ReadonlyMap<string, number>
  /** Slots by service that the host may use, free or occupied. */
  slots: ReadonlyMap<string, number>
  /** Age of the last report of the host, in milliseconds. */
  ageMs: number
}
