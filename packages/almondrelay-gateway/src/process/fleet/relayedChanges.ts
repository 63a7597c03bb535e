import type { StoreEvent } from '../store/storeEvent.js'

/** Changes of the store that a watcher relays to the other hosts of its region. */
export interface RelayedChanges {
  /** A host whose state includes this revision has missed no notable change before these. */
  afterRevision: number
  /** Revision up to which a host knows all notable changes once it has applied these. */
  upToRevision: number
  /** Changes in the order of their revisions. */
  events: readonly StoreEvent[]
  /** Names of the hosts to which the receiver forwards the changes. */
  forwardTo: readonly string[]
}
