import type { Random } from '../../request/random.js'
import type { Decision } from './decision.js'
import type { DecisionKind } from './decisionKind.js'
import { toJson } from './toJson.js'

interface RecorderOptions {
  kind: DecisionKind
  /** Identifies the module instance in the log: host, incarnation, service and so on. */
  instance: string
  random: Random
  record: (decision: Decision) => void
}

interface Call {
  call: string
  /** Empty when the call belongs to no request. */
  requestId: string
  given: readonly unknown[]
}

/** Records the calls to one decision module, with the random numbers that they drew, for `almondrelay replay`. */
export class CallRecorder {
  /** Random source for the module; the numbers it returns are recorded. */
  readonly random: Random
  private draws: number[] = []

  constructor (private readonly options: RecorderOptions) {
    this.random = () => {
      const drawn = options.random()
      this.draws.push(drawn)
      return drawn
    }
  }

  /** Makes the call and records it with its result. */
  run<Result> (call: Call, action: () => Result): Result {
    const given = call.given.map(toJson)
    this.draws = []
    const result = action()
    this.options.record({
      decision: this.options.kind,
      requestId: call.requestId,
      input: { instance: this.options.instance, call: call.call, given, draws: this.draws },
      output: toJson(result)
    })
    return result
  }
}
