import type { StoreEvent } from './storeEvent.js'

/** Result of a watch call. */
export type WatchResult =
  /** Changes in order, empty if the watch timed out without any. The next watch continues from `revision`. */
  | { kind: 'events', events: StoreEvent[], revision: number }
  /** The store no longer holds the changes since the given revision: all keys have to be read again. */
  | { kind: 'history-gone' }
