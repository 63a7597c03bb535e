/** Where a revision is in force. */
export interface RevisionReach {
  /** In force in every availability zone that can be reached. */
  inForce: boolean
  /** Availability zones that can be reached. */
  zones: number
  lagging: string[]
  /** Hosts and availability zones of which nothing is known now. */
  unreachable: string[]
}
