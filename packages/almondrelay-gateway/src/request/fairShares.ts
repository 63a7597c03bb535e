/** Division of a service's capacity among organisations. */
export interface FairShares {
  /** Hashes of the names of the organisations of rank `marginPriority` that ask for more than their share. */
  restricted: ReadonlySet<number>
  /** Share of each of them, in milliseconds of work a second. */
  shareMs: number
  /** Last rank that is served: organisations before it are served in full, those after it not at all. Infinity if all are served. */
  marginPriority: number
}
