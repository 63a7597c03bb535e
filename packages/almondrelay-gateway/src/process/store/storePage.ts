import type { StoreItem } from './storeItem.js'

/** A part of a listing. Pages of one listing are no snapshot: keys may change between them. */
export interface StorePage {
  items: StoreItem[]
  /** Revision of the store that the page shows. */
  revision: number
  /** More keys follow after the last one. */
  isTruncated: boolean
}
