/** Maximum rate of refreshes, summed over all neighbours: with four services a refresh is 300 bytes each way. */
const MAX_REFRESHES_PER_SECOND = 5
const MIN_INTERVAL_MS = 1_000

/**
 * Returns the time between two refreshes to one peer. A refresh sends summaries that have not changed, to repair
 * updates that the peer missed.
 */
export function computeRefreshMs (peerCount: number): number {
  return Math.max(MIN_INTERVAL_MS, peerCount * 1_000 / MAX_REFRESHES_PER_SECOND)
}
