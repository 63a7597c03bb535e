/** Summaries of other hosts that go out with one refresh to each neighbour, over all neighbours. */
const SUMMARIES_A_ROUND = 20
const MOST = 5

/**
 * Summaries of other hosts in one refresh. With few neighbours there is room for more, and a fleet
 * of a dozen hosts knows every host's revision within about four seconds.
 */
export function computeRefreshLength (peers: number): number {
  return Math.max(1, Math.min(MOST, Math.floor(SUMMARIES_A_ROUND / Math.max(1, peers))))
}
