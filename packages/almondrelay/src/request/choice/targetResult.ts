/** How one request on a target ended. */
export interface TargetResult {
  /** Time for which the request held its slot, in milliseconds. */
  latencyMs: number
  /** A whole answer came, whatever its HTTP status below 500. */
  ok: boolean
  /** The target answered that it is full. */
  shed?: boolean
  /** The caller gave it up: it says nothing about the target unless it was overdue. */
  cancelled?: boolean
}
