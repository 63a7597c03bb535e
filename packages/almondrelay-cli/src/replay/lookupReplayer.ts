import { computeLookupAnswer, type LookupAnswer, type LookupInput, type RecordedCall } from 'almondrelay'
import { Replayer } from './replayer.js'
import type { ReplayRandom } from './replayRandom.js'
import { UNKNOWN_STATE } from './unknownState.js'

/** Replays the computation of answers to look-ups: the hosts and their weights. */
export class LookupReplayer extends Replayer {
  constructor (private readonly random: ReplayRandom) {
    super()
  }

  override replay ({ call, given }: RecordedCall): unknown {
    if (call !== 'computeLookupAnswer') return UNKNOWN_STATE
    return computeLookupAnswer(given[0] as LookupInput, given[1] as LookupAnswer | null ?? undefined, given[2] as number, this.random.draw)
  }
}
