/** A customer. Its callers identify themselves by one of its keys. */
export interface Organisation {
  name: string
  /** Keys that its callers send to identify themselves. Must never be logged, used as a label of counts, or passed on. */
  keys: readonly string[]
  /** Rank of its requests under load, applied before the rank of their routes; 0 is served first. */
  priority: number
  /** Requests a second that all hosts together admit; 0 for no limit. */
  ratePerSecond: number
  /** Requests that all hosts together admit at once beyond the rate. */
  burst: number
  /** Regions in which its requests may run; empty where all regions are allowed. */
  allowedRegions: readonly string[]
}
