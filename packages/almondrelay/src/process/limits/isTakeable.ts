import { computeGrantorWait } from './computeGrantorWait.js'
import type { LimitsOptions } from './limitsOptions.js'
import type { PartState } from './partState.js'

/**
 * Whether a part can be taken without violating grants of a former holder: the former holder handed the part over, its
 * longest possible grant has expired, or only this host can have a grant. Without this wait the part's limit would be exceeded.
 */
export function isTakeable (state: PartState, options: LimitsOptions, now: number): boolean {
  if (state.handOvers.some((handOver) => handOver.toAsker)) return true
  if (now >= state.lostAt + computeGrantorWait(state.part.waitMs, options)) return true
  return state.user.isOnlyGrantee(state.part.id, now)
}
