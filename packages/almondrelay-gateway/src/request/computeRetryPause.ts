interface PauseBounds {
  /** Milliseconds after the first failure, doubled with each further one. */
  firstMs: number
  /** Milliseconds that the doubling ends at. */
  longestMs: number
}

/**
 * Milliseconds before a failed call is made again: half to one and a half of the doubled pause. Spread also at the longest:
 * hosts that lost the store together would else return to it together for as long as it is away.
 *
 * @param failures calls that failed in a row, this one included
 * @param chance from 0 to 1
 */
export function computeRetryPause ({ firstMs, longestMs }: PauseBounds, failures: number, chance: number): number {
  return Math.min(longestMs, firstMs * 2 ** (failures - 1)) * (0.5 + chance)
}
