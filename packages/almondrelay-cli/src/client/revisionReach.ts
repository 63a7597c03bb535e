/** Where a revision is in force, as far as the answering host knows. */
export interface RevisionReach {
  /** Whether the revision is in force on every reachable host. */
  inForce: boolean
  /** Number of availability zones that can be reached. */
  zones: number
  /** Availability zones with a reachable host that does not have the revision yet. */
  lagging: string[]
  /** Hosts that can't be reached, so that their revision is not known. */
  unreachable: string[]
}
