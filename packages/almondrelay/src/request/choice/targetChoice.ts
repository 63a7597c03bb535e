import type { ChoiceReason } from './choiceReason.js'

/** A chosen target, with the state on which it was chosen. */
export interface TargetChoice {
  target: string
  reason: ChoiceReason
  /** Expected wait relative to that at an idle target of typical speed; lower is better. */
  score: number
  /** Score of the other target that was drawn. */
  otherScore?: number
  /** Average latency of the answers to this host, divided by the expected cost. */
  slowness: number
  running: number
  /** Requests that it may currently run at once, as limited by ramp and trial. */
  allowed: number
}
