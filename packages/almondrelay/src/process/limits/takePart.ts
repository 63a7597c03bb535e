import { listBindingGrants } from './listBindingGrants.js'
import type { PartState } from './partState.js'

/** Makes this host the holder of a part, subject to all grants that still bind its holder. */
export function takePart (state: PartState, now: number): void {
  state.held = true
  state.usable = true
  // Grants that this host made before it handed the part over bind it too, if the next holder never took the part.
  const own = state.given === undefined ? [] : listBindingGrants(state.given, now)
  const grants = [...own, ...state.handOvers.flatMap((handOver) => handOver.grants)]
  state.handOvers = []
  state.given = undefined
  state.cleared.clear()
  state.user.acceptPart(state.part.id, grants, now)
}
