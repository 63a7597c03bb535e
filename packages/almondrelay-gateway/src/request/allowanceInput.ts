/** Input of the decision which share of an organisation's requests is admitted under its allowance. */
export interface AllowanceInput {
  /** Requests that all hosts together may admit within the window. */
  limit: number
  /** Requests that the hosts known to this one have admitted within the window. */
  admitted: number
  /** Of those, the requests that leave the window within the next second and thus make room. */
  leavingPerSecond: number
  /** Requests a second that the organisation's callers send to the known hosts. */
  askedPerSecond: number
  /** Share of all admitting hosts whose usage this host knows, above 0 and up to 1. */
  knownHostShare: number
}
