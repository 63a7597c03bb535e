import { comparePositions } from '../store/comparePositions.js'
import { PageAge } from '../store/pageAge.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreItem } from '../store/storeItem.js'
import type { StorePosition } from '../store/storePosition.js'
import type { FleetCodec } from './fleetCodec.js'
import type { FullPages } from './fullPages.js'

/** Bytes of an item in an answer of the store in addition to its key and value. */
const ITEM_OVERHEAD_BYTES = 100
/** Bytes of a value in an answer of the store for each byte of the value: values are encoded as base64. */
const ENCODED_SHARE = 4 / 3

/**
 * Lists all keys under a prefix, except the product's own keys: these sort last, and reading stops at the first page that ends among
 * them.
 */
export async function readPages (store: RevisionStore, codec: FleetCodec, prefix: string, age: PageAge, signal: AbortSignal): Promise<FullPages> {
  const items: StoreItem[] = []
  let position: StorePosition | undefined
  for (;;) {
    const page = await store.list(prefix, items.at(-1)?.key ?? '', age, signal)
    // Pages of two eras do not belong to one state.
    if (position !== undefined && page.position.era !== position.era) return await readPages(store, codec, prefix, PageAge.current, signal)
    // Stale pages may be from different times, in any order: the changes are requested from the oldest position on.
    if (position === undefined || comparePositions(page.position, position) < 0) position = page.position
    items.push(...page.items)
    const hasOmittedKeys = page.isTruncated && items.at(-1)?.key.startsWith(codec.productPrefix) === true
    if (!page.isTruncated || hasOmittedKeys) return { items, position, hasOmittedKeys, bytes: countBytes(items) }
    // Listing after the same key again would return the same page for ever.
    if (page.items.length === 0) throw new Error('listing of the store is truncated at a page without readable items')
  }
}

const countBytes = (items: readonly StoreItem[]): number =>
  items.reduce((sum, { key, value }) => sum + ITEM_OVERHEAD_BYTES + key.length + value.byteLength * ENCODED_SHARE, 0)
