import type { DecisionKind } from '../account/decisionKind.js'

interface RecordedDecision {
  decision: DecisionKind
  requestId: string
  /** Input of the decision, as plain data. */
  input: object
  /** Result of the decision, as plain data. */
  output: object
}

/** Records each routing or placement decision. */
export abstract class DecisionRecorder {
  abstract record (decision: RecordedDecision): void
}
