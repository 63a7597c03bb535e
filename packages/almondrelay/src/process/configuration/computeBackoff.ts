import type { Random } from '../../request/random.js'

const FIRST_MS = 100
const LONGEST_MS = 5_000

/**
 * Computes the delay before attempt `failures + 1`: doubled each time up to 5 s, then spread over its upper half,
 * so that hosts that lost the platform at the same time do not all reconnect at the same time.
 */
export function computeBackoff (failures: number, random: Random): number {
  const longest = Math.min(LONGEST_MS, FIRST_MS * 2 ** Math.min(failures, 16))
  return longest / 2 + random() * longest / 2
}
