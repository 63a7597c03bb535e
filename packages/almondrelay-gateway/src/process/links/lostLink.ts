/** A lost link, to one target or to all targets of an availability zone. Times are monotonic milliseconds. */
export interface LostLink {
  lostAt: number
  /** Milliseconds for which probes must succeed before the link is used again. */
  holdMs: number
  /** Time of the first of the latest probes that all succeeded; undefined while the last one failed. */
  reachedSince: number | undefined
  nextProbeAt: number
}
