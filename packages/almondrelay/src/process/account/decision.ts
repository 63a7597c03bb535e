import type { DecisionKind } from './decisionKind.js'
import type { Json } from './json.js'

/**
 * One decision with what was known and what came of it. `input` holds everything that the
 * module which decided was given, so that the decision can be made again from the log line.
 */
export interface Decision {
  decision: DecisionKind
  /** Id of the request; empty where the decision is about none. */
  requestId: string
  input: Json
  output: Json
}
