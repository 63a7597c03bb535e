import type { StoreItem } from './storeItem.js'

/** A change of one key. */
export type StoreEvent =
  | { kind: 'written', item: StoreItem }
  | { kind: 'deleted', key: string, revision: number }
