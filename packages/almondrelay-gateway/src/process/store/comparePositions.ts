import type { StorePosition } from './storePosition.js'

/** Returns a negative number if the first position is the earlier one, 0 if they are the same, and a positive number otherwise. */
export function comparePositions (one: StorePosition, other: StorePosition): number {
  return one.era - other.era || one.revision - other.revision
}
