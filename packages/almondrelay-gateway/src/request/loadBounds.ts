/** Bounds of the figures that a target may state about its load. Larger counts don't fit into the messages between hosts. */
export const loadBounds = {
  /** Requests running, and requests waiting. */
  maxRequests: 1_000_000,
  /** Time that work takes now, in percent of the usual. */
  maxSpeedPercent: 10_000
} as const
