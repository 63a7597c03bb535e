import type { LimitsOptions } from './limitsOptions.js'

/**
 * A lease of 3 s outlives two lost renewals at one a second; a credit of 1 s covers the slowest way
 * between regions (55 ms) many times over and ties a slot up no longer than a request does. Quartz
 * clocks differ by under 0.02%; 1% leaves room for a clock that is being slewed.
 */
export const defaultLimitsOptions: LimitsOptions = {
  leaseTermMs: 3_000,
  creditTermMs: 1_000,
  loanTermMs: 3_000,
  drift: 0.01,
  slackMs: 250,
  creditReserve: 0.1
}
