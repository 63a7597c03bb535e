import type { StorePosition } from './storePosition.js'

/** Earlier than every position that the store states. */
export const startPosition: StorePosition = { era: 0, revision: 0 }
