import type { StoreItem } from './storeItem.js'

/** What came of a transaction. */
export type CommitResult =
  | { kind: 'done', revision: number }
  /** A key stands at another revision than expected; the expected keys that exist, as they stand. */
  | { kind: 'conflict', items: StoreItem[] }
  /** A lease that it names has ended. */
  | { kind: 'lease-ended' }
