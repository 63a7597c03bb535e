import type { Random } from '../../request/random.js'

const FIRST_MS = 100
const LONGEST_MS = 5_000

/**
 * Wait before attempt `failures + 1`: doubled each time up to 5 s, then spread over the upper half,
 * so that hosts that lost the platform together do not come back to it together.
 */
export function computeBackoff (failures: number, random: Random): number {
  const longest = Math.min(LONGEST_MS, FIRST_MS * 2 ** Math.min(failures, 16))
  return longest / 2 + random() * longest / 2
}
