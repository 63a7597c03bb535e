import type { StoreEvent } from '../store/storeEvent.js'

/** Length in bytes from which a value is dropped if a later one follows: decoding a large configuration takes tens of milliseconds. */
const MIN_BYTES = 4_096

/** Returns the changes without large values that a later change among them replaces. */
export function dropSupersededValues (events: readonly StoreEvent[]): StoreEvent[] {
  const written = new Set<string>()
  return events.toReversed().filter((event) => {
    if (event.kind !== 'written' || event.item.value.byteLength < MIN_BYTES) return true
    const isSuperseded = written.has(event.item.key)
    written.add(event.item.key)
    return !isSuperseded
  }).toReversed()
}
