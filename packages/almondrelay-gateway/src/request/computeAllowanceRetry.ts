/** Milliseconds after which one request in as many as are let through has room: rooms open with the sliding of the window. */
const MEAN_ROOM_MS = 1_000
/** Shortest and longest mean time to come back, in milliseconds: before, the refusal hasn't reached the caller; after, the window is new. */
const LEAST_RETRY_MS = 250
const LONGEST_RETRY_MS = 2_500

/**
 * Milliseconds after which a request beyond its organisation's allowance may come back: the less is let through, the longer.
 * Spread, so that those who were refused together don't come back together.
 *
 * @param allowedPart part of the organisation's requests that is let through now
 * @param random in [0, 1)
 */
export function computeAllowanceRetry (allowedPart: number, random: number): number {
  const meanMs = Math.min(LONGEST_RETRY_MS, Math.max(LEAST_RETRY_MS, MEAN_ROOM_MS * (1 / Math.max(Number.EPSILON, allowedPart) - 1)))
  return meanMs * (0.5 + random)
}
