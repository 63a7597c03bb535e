import type { TargetChoice } from './targetChoice.js'

/** Input of the decision whether a request is sent to its chosen target or refused. */
export interface AdmissionInput {
  choice: TargetChoice
  /** Latency target: milliseconds from the request's arrival within which the answer has its full value. */
  targetLatencyMs: number
  /** Milliseconds since the request arrived. */
  elapsedMs: number
  /** Milliseconds until the caller stops waiting. */
  remainingMs: number
}
