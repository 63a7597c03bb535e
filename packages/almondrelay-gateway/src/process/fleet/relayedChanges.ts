import type { StoreEvent } from '../store/storeEvent.js'

/** Changes of the store as a host that watches it hands them on to the others of its region. */
export interface RelayedChanges {
  /** A host that knows all changes up to this revision misses none before these. */
  afterRevision: number
  /** With these, a host knows all changes up to this revision by which it decides otherwise than before. */
  upToRevision: number
  /** In the order of their revisions. */
  events: readonly StoreEvent[]
  /** Names of the hosts to which the receiver is to pass them on. */
  forwardTo: readonly string[]
}
