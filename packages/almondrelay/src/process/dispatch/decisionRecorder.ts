/** One decision: what was known, and what came of it. Both sides are plain JSON. */
interface RecordedDecision {
  kind: string
  requestId: string
  input: Record<string, unknown>
  output: Record<string, unknown>
}

/** Writes a log line for each routing or placement decision. */
export abstract class DecisionRecorder {
  abstract record (decision: RecordedDecision): void
}
