import type { StoreEvent } from './storeEvent.js'

/** Returns the revision of the store at which a change was made. */
export function getEventRevision (event: StoreEvent): number {
  return event.kind === 'written' ? event.item.revision : event.revision
}
