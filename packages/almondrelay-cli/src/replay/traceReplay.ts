import { isDeepStrictEqual } from 'node:util'
import { RecordedCall, toJson } from 'almondrelay'
import type { TraceLine } from '../trace/traceLine.js'
import type { LineVerdict } from './lineVerdict.js'
import { ReplayerRegistry } from './replayerRegistry.js'
import { ReplayRandom } from './replayRandom.js'
import { UNKNOWN_STATE } from './unknownState.js'

/** Replays the lines of a trace, in their order, with the modules that made the decisions. */
export class TraceReplay {
  private readonly random = new ReplayRandom()
  private readonly registry = new ReplayerRegistry(this.random)

  replay (line: TraceLine): LineVerdict {
    const replayer = this.registry.find(line.decision)
    if (replayer === undefined) return { kind: 'passed', reason: 'no module decides this kind alone' }
    const call = RecordedCall.safeParse(line.input)
    if (!call.success) return { kind: 'passed', reason: 'not every input was recorded; set log.replay in the host\'s settings' }
    this.random.load(call.data.draws)
    return this.compare(line, () => replayer.replay(call.data))
  }

  private compare (line: TraceLine, run: () => unknown): LineVerdict {
    try {
      const found = run()
      if (found === UNKNOWN_STATE) return { kind: 'passed', reason: 'the trace begins after the module was made, or this version knows no such call' }
      const unused = this.random.countUnused()
      if (unused > 0) return { kind: 'different', found: `${unused} recorded random numbers were not used` }
      return isDeepStrictEqual(toJson(found), line.output ?? null) ? { kind: 'same' } : { kind: 'different', found: toJson(found) }
    } catch (error) {
      return { kind: 'different', found: `error: ${(error as Error).message}` }
    }
  }
}
