import type { TargetChoice } from './targetChoice.js'

/** What decides whether a request is sent to the target that was chosen for it. */
export interface AdmissionInput {
  choice: TargetChoice
  /** Milliseconds from its arrival within which the answer has its full value. */
  targetLatencyMs: number
  /** Milliseconds since its arrival. */
  elapsedMs: number
  /** Milliseconds until the caller stops waiting. */
  leftMs: number
}
