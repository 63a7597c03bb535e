import type { Random } from '../../request/random.js'
import type { Decision } from './decision.js'
import type { DecisionKind } from './decisionKind.js'
import { toJson } from './toJson.js'

interface RecorderOptions {
  kind: DecisionKind
  /** Names the instance in the log: host, incarnation, service and so on. */
  instance: string
  random: Random
  record: (decision: Decision) => void
}

interface Call {
  call: string
  /** Empty where the call is about no request. */
  requestId: string
  given: readonly unknown[]
}

/** Records the calls to one decision module, with the chance that they drew, for `almondrelay replay`. */
export class CallRecorder {
  /** The module's source of chance; what it gives is recorded. */
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
