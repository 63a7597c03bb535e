import { DecisionKind } from 'almondrelay'
import { AdmissionReplayer } from './admissionReplayer.js'
import { ChoiceReplayer } from './choiceReplayer.js'
import { LookupReplayer } from './lookupReplayer.js'
import { PlacementReplayer } from './placementReplayer.js'
import type { Replayer } from './replayer.js'
import type { ReplayRandom } from './replayRandom.js'

/** Replayers by kind of decision. Decisions of a kind without a replayer are counted as not replayed. */
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
