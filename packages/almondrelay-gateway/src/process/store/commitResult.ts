import type { StoreItem } from './storeItem.js'

/** Outcome of a transaction. */
export type CommitResult =
  | { kind: 'done', revision: number }
  /** A key is at another revision than expected; `items` are the current items of the expected keys that exist. */
  | { kind: 'conflict', items: StoreItem[] }
  /** A lease that the transaction names has expired or was released. */
  | { kind: 'lease-ended' }
  /**
   * The store has returned from a copy since the expected revisions were read: it may have compared them with other values under the same
   * numbers. The transaction may have taken effect.
   */
  | { kind: 'era-ended' }
