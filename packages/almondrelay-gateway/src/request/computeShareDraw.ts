import { computePairHash } from '../version/computePairHash.js'

const HASH_RANGE = 2 ** 32

/**
 * Draws in [0, 1) for a request in a time slot: the same at each host for each attempt of the same request.
 *
 * Load: 30% of the refused callers repeat at once, three times. If each attempt were drawn anew, they would get more of the capacity than
 * callers that wait as they were told. With the same draw, an immediate repeat is refused again, at whichever host it arrives.
 *
 * @param requestHash hash of what all attempts of a caller have in common
 */
export function computeShareDraw (requestHash: number, slot: number): number {
  return computePairHash(requestHash, slot) / HASH_RANGE
}
