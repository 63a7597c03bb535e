import { CATCH_UP_MS } from '../store/catchUpMs.js'
import { PageAge } from '../store/pageAge.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreEvent } from '../store/storeEvent.js'
import type { StoreItem } from '../store/storeItem.js'
import { comparePositions } from '../store/comparePositions.js'
import type { StorePosition } from '../store/storePosition.js'
import type { FleetCodec } from './fleetCodec.js'

/** All keys under a prefix, and the changes after them. */
interface FullRead {
  items: StoreItem[]
  events: readonly StoreEvent[]
  /** Position up to which the items and the events together are complete. */
  position: StorePosition
  /** The product's own keys were not read to their end. */
  hasOmittedKeys: boolean
}

/**
 * Reads all keys under a prefix, except the product's own keys: these sort last, and reading stops at the
 * first page that ends among them.
 *
 * Stale pages (up to seconds old) together with all changes since are as current as the store, at a tenth of the price of current
 * pages; when a whole fleet restarts, each host reads hundreds of keys. If the store no longer holds the changes since,
 * current pages are read instead.
 *
 * @param age current, if stale pages may be from before a return of the store from a copy: their revisions were given out again, and the
 *   changes since would not be those that they lack
 */
export async function readPrefix (store: RevisionStore, codec: FleetCodec, prefix: string, age: PageAge, signal: AbortSignal): Promise<FullRead> {
  const read = await readPages(store, codec, prefix, age, signal)
  const changes = await store.watch(prefix, read.position, CATCH_UP_MS, signal)
  if (changes.kind === 'history-gone') return await readPages(store, codec, prefix, PageAge.current, signal)
  return { ...read, events: changes.events, position: changes.position }
}

const readPages = async (store: RevisionStore, codec: FleetCodec, prefix: string, age: PageAge, signal: AbortSignal): Promise<FullRead> => {
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
    if (!page.isTruncated || hasOmittedKeys) return { items, events: [], position, hasOmittedKeys }
    // Listing after the same key again would return the same page for ever.
    if (page.items.length === 0) throw new Error('listing of the store is truncated at a page without readable items')
  }
}
