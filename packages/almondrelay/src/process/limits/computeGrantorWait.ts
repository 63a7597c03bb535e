import type { LimitsOptions } from './limitsOptions.js'

/**
 * How long a grantor waits on its own clock, in milliseconds, for something that lasts `ms` by the
 * clock of a holder. Guards against a grantor whose clock runs fast: it would give the same capacity
 * to the next holder while the former one, or the target that times its last request, still counts.
 * The drift counts twice, between grantor and holder and between holder and target; the slack covers
 * the way of a request.
 */
export function computeGrantorWait (ms: number, options: Pick<LimitsOptions, 'drift' | 'slackMs'>): number {
  return ms * (1 + options.drift) ** 2 + options.slackMs
}
