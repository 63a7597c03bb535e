import type { StoreEvent } from '../store/storeEvent.js'
import { MIN_LARGE_VALUE_BYTES } from './minLargeValueBytes.js'

/** Returns the changes without large values that a later change among them replaces. */
export function dropSupersededValues (events: readonly StoreEvent[]): StoreEvent[] {
  const written = new Set<string>()
  return events.toReversed().filter((event) => {
    if (event.kind !== 'written' || event.item.value.byteLength < MIN_LARGE_VALUE_BYTES) return true
    const isSuperseded = written.has(event.item.key)
    written.add(event.item.key)
    return !isSuperseded
  }).toReversed()
}
