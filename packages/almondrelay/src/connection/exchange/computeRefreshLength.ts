/** Summaries of other hosts in one refresh to each neighbour, in total over all neighbours. */
const SUMMARIES_PER_ROUND = 20
const MAX_SUMMARIES = 5

/**
 * Returns the number of summaries of other hosts in one refresh. With few neighbours each refresh can hold more, so that
 * every host in a fleet of a dozen knows the revision of every other within about four seconds.
 */
export function computeRefreshLength (peerCount: number): number {
  return Math.max(1, Math.min(MAX_SUMMARIES, Math.floor(SUMMARIES_PER_ROUND / Math.max(1, peerCount))))
}
