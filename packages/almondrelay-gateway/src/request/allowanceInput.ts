/** What decides whether an organisation's request is within its allowance. */
export interface AllowanceInput {
  /** Requests that all hosts together may let through within the window. */
  limit: number
  /** Requests that the hosts of which this one knows have let through within the window. */
  used: number
  /** Of those, the ones that leave the window within the next second, and make room. */
  leavingPerSecond: number
  /** Requests a second that its callers ask of them. */
  askedPerSecond: number
  /** Part of all hosts that may let requests through of which this one knows, above 0 and up to 1. */
  reach: number
}
