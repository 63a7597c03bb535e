/** Maximum rate of refreshes, summed over all neighbours: with four services a refresh is 300 bytes each way. */
const REFRESHES_A_SECOND = 5
const SHORTEST_MS = 1_000

/**
 * Returns the time between two refreshes to one peer. A refresh sends summaries that have not changed, to repair
 * updates that the peer missed.
 */
export function computeRefreshMs (peers: number): number {
  return Math.max(SHORTEST_MS, peers * 1_000 / REFRESHES_A_SECOND)
}
