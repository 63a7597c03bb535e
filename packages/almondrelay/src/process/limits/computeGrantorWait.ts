import type { LimitsOptions } from './limitsOptions.js'

/**
 * Computes how long a grantor waits on its own clock, in milliseconds, for a period of `ms` on the clock
 * of a holder. Without the margin, a grantor whose clock runs fast would grant the same capacity to the
 * next holder before the period has ended for the former holder, or for the target that times its last request.
 * The drift applies twice, between grantor and holder and between holder and target; the slack covers
 * the time that a request is in transit.
 */
export function computeGrantorWait (ms: number, options: Pick<LimitsOptions, 'drift' | 'slackMs'>): number {
  return ms * (1 + options.drift) ** 2 + options.slackMs
}
