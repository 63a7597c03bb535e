import type { DecisionKind } from './decisionKind.js'
import type { Json } from './json.js'

/**
 * One decision with its input and its result. `input` holds all arguments of the deciding module, so that the decision
 * can be replayed from the log line.
 */
export interface Decision {
  decision: DecisionKind
  /** Id of the request; empty when the decision belongs to none. */
  requestId: string
  input: Json
  output: Json
}
