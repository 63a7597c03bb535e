/** What `GET /control/runs` answers: counts since the start, taken when a request begins to run. */
export interface TargetRuns {
  /** Runs by request id; requests without one are only in `total`. */
  runs: Record<string, number>
  /** Runs by the query parameter `operation`, by which a load counts over ids. */
  operations: Record<string, number>
  total: number
  /** Runs that ended by themselves. */
  done: number
  /** Runs stopped because the caller gave up. */
  cancelled: number
  /** Runs stopped at their deadline. */
  expired: number
  shed: number
  running: number
  maxRunning: number
  /** Runs that began while health said that the target is leaving. */
  whileLeaving: number
  /** Milliseconds from the leaving switch to the last run that began after it. */
  lastAfterLeavingMs: number
}
