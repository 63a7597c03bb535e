/** What this host knows of an entry host, as far as dispatching a request needs it. */
export interface KnownHost {
  name: string
  incarnation: number
  region: string
  availabilityZone: string
  callerAddress: string
  peerAddress: string
  /** It announced its planned stop. */
  leaving: boolean
  /** It was heard of lately; false only stops new work to it. */
  reachable: boolean
  /** Definitive evidence says that this incarnation has ended. */
  gone: boolean
  /** Free slots by service, as it last counted them. */
  freeSlots: ReadonlyMap<string, number>
  /** Slots that it may use by service, free or not. */
  slots: ReadonlyMap<string, number>
  /** Age of what it last told, in milliseconds. */
  ageMs: number
}
