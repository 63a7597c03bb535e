import { match } from 'ts-pattern'
import { TargetChooser, type RecordedCall, type TargetReport, type TargetResult, type TargetSpec } from 'almondrelay'
import { Replayer } from './replayer.js'
import type { ReplayRandom } from './replayRandom.js'
import { UNKNOWN_STATE } from './unknownState.js'

/** Replays the decisions of target choosers. */
export class ChoiceReplayer extends Replayer {
  private readonly choosers = new Map<string, TargetChooser>()

  constructor (private readonly random: ReplayRandom) {
    super()
  }

  override replay (call: RecordedCall): unknown {
    if (call.call === 'create') {
      this.choosers.set(call.instance, new TargetChooser())
      return undefined
    }
    const chooser = this.choosers.get(call.instance)
    return chooser === undefined ? UNKNOWN_STATE : this.replayCall(chooser, call)
  }

  private replayCall (chooser: TargetChooser, { call, given }: RecordedCall): unknown {
    return match(call)
      .with('adoptTargets', () => chooser.adoptTargets(given[0] as TargetSpec[], given[1] as number))
      .with('choose', () => chooser.choose(new Map(Object.entries(given[0] as Record<string, number>)), new Set(given[1] as string[]), given[2] as number, this.random.draw))
      .with('allow', () => chooser.allow(given[0] as string, given[1] as number))
      .with('start', () => chooser.start(given[0] as string, given[1] as number, given[2] as number | null ?? undefined))
      .with('finish', () => chooser.finish(given[0] as string, given[1] as TargetResult, given[2] as number))
      .with('report', () => chooser.report(given[0] as string, given[1] as TargetReport, given[2] as number))
      .with('markLeaving', () => chooser.markLeaving(given[0] as string, given[1] as boolean, given[2] as number))
      .otherwise(() => UNKNOWN_STATE)
  }
}
