import type { StoreEvent } from './storeEvent.js'

/** What a watch brought. */
export type WatchResult =
  /** Changes in order, none where the wait passed without any. Go on from `revision`. */
  | { kind: 'events', events: StoreEvent[], revision: number }
  /** The store no longer holds the changes since then: what is known has to be read anew. */
  | { kind: 'history-gone' }
