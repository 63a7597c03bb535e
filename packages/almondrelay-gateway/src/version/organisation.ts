/** A customer. Its callers identify themselves by one of its keys. */
export interface Organisation {
  name: string
  /** What its callers send to identify themselves. Never to be logged, counted by or passed on. */
  keys: readonly string[]
  /** Rank of its requests under load, before the rank of their routes; 0 is served first. */
  priority: number
  /** Requests a second that all hosts together let through; 0 for any number. */
  ratePerSecond: number
  /** Requests that all hosts together let through at once beyond the rate. */
  burst: number
  /** Regions in which its requests may run; empty where any may. */
  allowedRegions: readonly string[]
}
