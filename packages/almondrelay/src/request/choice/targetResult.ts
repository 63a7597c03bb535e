/** How one request on a target ended. */
export interface TargetResult {
  /** Time for which the request held its slot, in milliseconds. */
  latencyMs: number
  /** A complete answer with an HTTP status below 500 was received. */
  ok: boolean
  /** The target shed the request because it is full. */
  shed?: boolean
  /** The caller cancelled the request: its latency says nothing about the target unless it was overdue. */
  cancelled?: boolean
}
