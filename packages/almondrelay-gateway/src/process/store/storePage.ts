import type { StoreItem } from './storeItem.js'
import type { StorePosition } from './storePosition.js'

/** Page of a listing. The pages of a listing are not a snapshot: keys may change between them. */
export interface StorePage {
  items: StoreItem[]
  /** Position of the store that the page represents. */
  position: StorePosition
  /** More keys follow after those of this page. */
  isTruncated: boolean
}
