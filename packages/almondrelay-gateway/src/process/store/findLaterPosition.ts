import { comparePositions } from './comparePositions.js'
import type { StorePosition } from './storePosition.js'

export function findLaterPosition (one: StorePosition, other: StorePosition): StorePosition {
  return comparePositions(one, other) >= 0 ? one : other
}
