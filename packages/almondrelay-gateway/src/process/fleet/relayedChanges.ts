import type { StorePosition } from '../store/storePosition.js'
import type { RelayedEvent } from './relayedEvent.js'

/** Changes of the store that a watcher relays to the other hosts of its region. */
export interface RelayedChanges {
  /** A host whose state includes this position has missed no notable change before these. */
  after: StorePosition
  /** Position up to which a host knows all notable changes once it has applied these; of the same era. */
  upTo: StorePosition
  /** Changes in the order of their revisions. */
  events: readonly RelayedEvent[]
  /** Names of the hosts to which the receiver forwards the changes. */
  forwardTo: readonly string[]
}
