import type { RelayedEvent } from '../fleet/relayedEvent.js'

/** Returns the revision of the store at which a change was made. */
export function getEventRevision (event: RelayedEvent): number {
  return event.kind === 'written' ? event.item.revision : event.revision
}
