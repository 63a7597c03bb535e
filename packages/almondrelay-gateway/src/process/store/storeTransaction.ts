interface StoreWrite {
  key: string
  value: Buffer
  /** The key is deleted when this lease expires or is released; 0 for no lease. */
  leaseId: number
}

/** Changes that the store makes atomically. */
export interface StoreTransaction {
  /** Era in which the expected revisions were read and the leases were granted. */
  era: number
  /** Revisions at which keys must be for the transaction to succeed; 0 for a key that must not exist. */
  expected: ReadonlyArray<{ key: string, revision: number }>
  writes: readonly StoreWrite[]
  deletes: readonly string[]
}
