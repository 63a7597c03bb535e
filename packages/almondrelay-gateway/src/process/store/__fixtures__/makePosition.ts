import type { StorePosition } from '../storePosition.js'

/** Builds a position in the first era of a store. */
export function makePosition (revision: number): StorePosition {
  return { era: 1, revision }
}
