import type { LimitsOptions } from './limitsOptions.js'

/**
 * How long a grantor waits on its own clock, in milliseconds, for something that ends after `ms` on
 * another's. Guards against a grantor whose clock runs fast: it would give the same capacity to the
 * next holder while the former one still counts its term. The factor covers twice the stated drift
 * (one clock fast, the other slow, against real time) to the second order, and the slack covers the way of a request.
 */
export function computeGrantorWait (ms: number, options: Pick<LimitsOptions, 'drift' | 'slackMs'>): number {
  return ms * (1 + options.drift) / (1 - options.drift) + options.slackMs
}
