import { computeGrantorWait } from './computeGrantorWait.js'
import type { LimitsOptions } from './limitsOptions.js'
import type { PartState } from './partState.js'

/**
 * Whether what the former holder of a part granted can't bind any more: it handed the part over, its longest grant has
 * run out, or nobody but this host could have a grant. Without this wait the part's limit would be passed.
 */
export function isTakeable (state: PartState, options: LimitsOptions, now: number): boolean {
  if (state.handOvers.some((handOver) => handOver.toAsker)) return true
  if (now >= state.lostAt + computeGrantorWait(state.part.waitMs, options)) return true
  return state.user.isOnlyGrantee(state.part.id, now)
}
