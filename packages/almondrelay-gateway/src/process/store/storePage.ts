import type { StoreItem } from './storeItem.js'

/** Page of a listing. The pages of a listing are not a snapshot: keys may change between them. */
export interface StorePage {
  items: StoreItem[]
  /** Revision of the store that the page represents. */
  revision: number
  /** More keys follow after those of this page. */
  isTruncated: boolean
}
