import type { DecisionKind } from '../account/decisionKind.js'

interface RecordedDecision {
  decision: DecisionKind
  requestId: string
  /** What was known; plain data. */
  input: object
  /** What came of it; plain data. */
  output: object
}

/** Takes note of each routing or placement decision. */
export abstract class DecisionRecorder {
  abstract record (decision: RecordedDecision): void
}
