/** Most refreshes a second over all neighbours: with four services a refresh is 300 bytes each way. */
const REFRESHES_A_SECOND = 5
const SHORTEST_MS = 1_000

/**
 * Time between two refreshes to one peer, which bring summaries that are no news and so repair
 * what was missed.
 */
export function computeRefreshMs (peers: number): number {
  return Math.max(SHORTEST_MS, peers * 1_000 / REFRESHES_A_SECOND)
}
