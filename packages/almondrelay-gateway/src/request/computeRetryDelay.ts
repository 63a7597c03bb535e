interface RetryDelayBounds {
  /** Delay in milliseconds after the first failure; doubled with each further one. */
  firstMs: number
  /** Maximum of the doubled delay, in milliseconds. */
  longestMs: number
}

/**
 * Computes the milliseconds to wait before a failed call is retried: 0.5 to 1.5 times the doubled delay. The longest delay is
 * randomised too: otherwise hosts that lost the store together would call it at the same moments for as long as it is
 * unavailable.
 *
 * @param failures calls that failed in a row, including the last one
 * @param random in [0, 1)
 */
export function computeRetryDelay ({ firstMs, longestMs }: RetryDelayBounds, failures: number, random: number): number {
  return Math.min(longestMs, firstMs * 2 ** (failures - 1)) * (0.5 + random)
}
