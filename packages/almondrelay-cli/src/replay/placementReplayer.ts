import { choosePlacement, type PlacementInput, type RecordedCall } from 'almondrelay'
import { Replayer } from './replayer.js'
import type { ReplayRandom } from './replayRandom.js'
import { UNKNOWN_STATE } from './unknownState.js'

/** Replays placement decisions: the order in which availability zones are tried. */
export class PlacementReplayer extends Replayer {
  constructor (private readonly random: ReplayRandom) {
    super()
  }

  override replay ({ call, given }: RecordedCall): unknown {
    if (call !== 'choosePlacement') return UNKNOWN_STATE
    return choosePlacement(given[0] as PlacementInput, given[1] as number, this.random.draw)
  }
}
