/** Where a revision is in force. */
export interface RevisionReach {
  /** In force on every host that can be reached. */
  inForce: boolean
  /** Availability zones that can be reached. */
  zones: number
  /** Availability zones with a host that does not have it yet. */
  lagging: string[]
  /** Hosts of which nothing is known now. */
  unreachable: string[]
}
