/** One process of an entry host. */
export interface RosterHost {
  name: string
  /** Milliseconds since the Unix epoch at which the process began. */
  incarnation: number
}
