/** Parameters of leases, credits and loans; they must be the same on every host of a fleet. */
export interface LimitsOptions {
  /** Term of a slot lease in milliseconds. */
  leaseTermMs: number
  /** Time for which a credit is valid, in milliseconds. */
  creditTermMs: number
  /** Term of a loan between availability zones or hosts, in milliseconds. */
  loanTermMs: number
  /** Maximum difference in rate between two monotonic clocks, as a fraction. */
  drift: number
  /** Allowance for the transit of a request to its target and for the end of the request to take effect, in milliseconds. */
  slackMs: number
  /** Fraction of the slots that an owner has for a service which it keeps from being granted as credits, for its own callers. */
  creditReserve: number
}
