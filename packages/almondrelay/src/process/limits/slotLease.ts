/** The use of a target's slots above the owner's floor for a short term. */
export interface SlotLease {
  service: string
  target: string
  /** Length of the term in milliseconds; the holder counts it from the sending of its request. */
  termMs: number
  /** Longest time for which work begun on the lease may run on after its end, in milliseconds. */
  longestDeadlineMs: number
  rosterVersion: number
}
