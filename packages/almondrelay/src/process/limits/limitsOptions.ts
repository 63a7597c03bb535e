/** Figures of the limits; the same on every host of a fleet. */
export interface LimitsOptions {
  /** Term of a slot lease in milliseconds. */
  leaseTermMs: number
  /** Time for which a credit is valid, in milliseconds. */
  creditTermMs: number
  /** Term of a loan between availability zones or hosts, in milliseconds. */
  loanTermMs: number
  /** Greatest difference in rate between two monotonic clocks, as a fraction. */
  drift: number
  /** Allowance for the way of a request to its target and of its end, in milliseconds. */
  slackMs: number
  /** Fraction of a service's slots at its owner that credits leave for the owner's own callers. */
  creditReserve: number
}
