import type { StoreItem } from './storeItem.js'

/** Change of one key of the store. */
export type StoreEvent =
  | { kind: 'written', item: StoreItem }
  | { kind: 'deleted', key: string, revision: number }
