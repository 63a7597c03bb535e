import type { StoreEvent } from './storeEvent.js'
import type { StorePosition } from './storePosition.js'

/** Result of a watch call. */
export type WatchResult =
  /** Changes in order, empty if the watch timed out without any. The next watch continues from `position`. */
  | { kind: 'events', events: StoreEvent[], position: StorePosition }
  /**
   * The store no longer holds the changes since the given position, or has returned from a copy since: all keys have to be read again.
   */
  | { kind: 'history-gone' }
  /** The changes are longer than the caller wanted to read. */
  | { kind: 'too-long' }
