import { AnswerTransfer } from '../store/answerTransfer.js'
import { CATCH_UP_MS } from '../store/catchUpMs.js'
import { PageAge } from '../store/pageAge.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreEvent } from '../store/storeEvent.js'
import { computeMaxChangesBytes } from './computeMaxChangesBytes.js'
import type { FleetCodec } from './fleetCodec.js'
import type { FullPages } from './fullPages.js'
import { readPages } from './readPages.js'

/** All keys under a prefix, and the changes after them. */
interface FullRead extends FullPages {
  events: readonly StoreEvent[]
}

/**
 * Reads all keys under a prefix, as `readPages` does, and the changes since.
 *
 * Stale pages (up to seconds old) together with all changes since are as current as the store, at a tenth of the price of current
 * pages; when a whole fleet restarts, each host reads hundreds of keys. If the store no longer holds the changes since, or if they are
 * longer than the pages, current pages are read instead.
 *
 * @param age current, if stale pages may be from before a return of the store from a copy: their revisions were given out again, and the
 *   changes since would not be those that they lack
 */
export async function readPrefix (store: RevisionStore, codec: FleetCodec, prefix: string, age: PageAge, signal: AbortSignal): Promise<FullRead> {
  const read = await readPages(store, codec, prefix, age, signal)
  const changes = await store.watch(prefix, read.position, CATCH_UP_MS, signal, new AnswerTransfer(computeMaxChangesBytes(read.bytes)))
  if (changes.kind !== 'events') return { ...await readPages(store, codec, prefix, PageAge.current, signal), events: [] }
  return { ...read, events: changes.events, position: changes.position }
}
