interface StoreWrite {
  key: string
  value: Buffer
  /** The key vanishes with this lease; 0 for none. */
  leaseId: number
}

/** Changes that the store makes all together or not at all. */
export interface StoreTransaction {
  /** Revisions at which keys must stand; 0 for a key that must not exist. */
  expected: ReadonlyArray<{ key: string, revision: number }>
  writes: readonly StoreWrite[]
  deletes: readonly string[]
}
