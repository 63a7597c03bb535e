import type { StoreItem } from '../store/storeItem.js'
import type { StorePosition } from '../store/storePosition.js'

/** All keys under a prefix, each with its last value. */
export interface FullPages {
  items: StoreItem[]
  /** Position up to which the items are complete. Single items may be newer, as pages are not a snapshot. */
  position: StorePosition
  /** The product's own keys were not read to their end. */
  hasOmittedKeys: boolean
  /** Approximate length of the pages as the store sends them. */
  bytes: number
}
