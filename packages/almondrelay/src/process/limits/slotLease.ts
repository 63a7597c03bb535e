/** A short-term right to use a target's slots above the owner's floor. */
export interface SlotLease {
  service: string
  target: string
  /** Length of the term in milliseconds; the lessee counts it from the sending of its request. */
  termMs: number
  /** Maximum time in milliseconds for which work begun on the lease may run after the lease ends. */
  longestDeadlineMs: number
  rosterVersion: number
}
