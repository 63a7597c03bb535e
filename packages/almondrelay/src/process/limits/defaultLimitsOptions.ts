import type { LimitsOptions } from './limitsOptions.js'

/**
 * A lease of 3 s outlives two lost renewals at one a second; a credit of 1 s covers the slowest way
 * between regions (55 ms) many times over and ties a slot up no longer than a request does. A zone's
 * loan of 9 s makes a host's loan of 3 s, renewed once a second: with 59 borrowers of 123 bytes each,
 * 7.3 KB a second at the holder of a share; with 3 s it would be 21.8, above the 12 KB that a host has. Quartz
 * clocks differ by under 0.02%; 1% leaves room for a clock that is being slewed.
 */
export const defaultLimitsOptions: LimitsOptions = {
  leaseTermMs: 3_000,
  creditTermMs: 1_000,
  loanTermMs: 9_000,
  drift: 0.01,
  slackMs: 250,
  creditReserve: 0.1
}
