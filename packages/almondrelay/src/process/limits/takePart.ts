import { listBindingGrants } from './listBindingGrants.js'
import type { PartState } from './partState.js'

/** Makes this host the holder of a part, with all grants that still bind its holder. */
export function takePart (state: PartState, now: number): void {
  state.held = true
  state.usable = true
  // What this host granted when it gave the part up binds it too, if the next holder never took it.
  const own = state.given === undefined ? [] : listBindingGrants(state.given, now)
  const grants = [...own, ...state.handOvers.flatMap((handOver) => handOver.grants)]
  state.handOvers = []
  state.given = undefined
  state.cleared.clear()
  state.user.acceptPart(state.part.id, grants, now)
}
