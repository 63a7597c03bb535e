import type { LimitsOptions } from './limitsOptions.js'

/**
 * A lease of 3 s, renewed once a second, survives two lost renewals. A credit of 1 s covers the slowest
 * one-way latency between regions (55 ms) many times over and occupies a slot no longer than a request does.
 * A zone's loan of 9 s gives a host's loan a term of 3 s, renewed once a second: 59 borrowers of 123 bytes each
 * cost the holder of a share 7.3 KB/s. A zone's loan of 3 s would cost 21.8 KB/s, above the budget of 12 KB/s
 * per host. Quartz clocks differ by less than 0.02%; a drift of 1% also allows for a clock that is being slewed.
 */
export const defaultLimitsOptions: LimitsOptions = {
  leaseTermMs: 3_000,
  creditTermMs: 1_000,
  loanTermMs: 9_000,
  drift: 0.01,
  slackMs: 250,
  creditReserve: 0.1
}
