/** One process of an entry host. */
export interface RosterHost {
  name: string
  /** Start time of the process in milliseconds since the Unix epoch. */
  incarnation: number
}
