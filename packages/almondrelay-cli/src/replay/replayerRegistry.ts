import { DecisionKind } from 'almondrelay'
import { AdmissionReplayer } from './admissionReplayer.js'
import { ChoiceReplayer } from './choiceReplayer.js'
import { LookupReplayer } from './lookupReplayer.js'
import { PlacementReplayer } from './placementReplayer.js'
import type { Replayer } from './replayer.js'
import type { ReplayRandom } from './replayRandom.js'

/** The replayers by kind of decision; a kind without one is counted as not replayed. */
export class ReplayerRegistry {
  private readonly replayers: ReadonlyMap<string, Replayer>

  constructor (random: ReplayRandom) {
    this.replayers = new Map<string, Replayer>([
      [DecisionKind.lookup, new LookupReplayer(random)],
      [DecisionKind.placement, new PlacementReplayer(random)],
      [DecisionKind.admission, new AdmissionReplayer(random)],
      [DecisionKind.choice, new ChoiceReplayer(random)]
    ])
  }

  find (kind: string): Replayer | undefined {
    return this.replayers.get(kind)
  }
}
