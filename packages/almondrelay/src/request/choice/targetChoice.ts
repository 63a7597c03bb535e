import type { ChoiceReason } from './choiceReason.js'

/** A chosen target, with what was known of it. */
export interface TargetChoice {
  target: string
  reason: ChoiceReason
  /** Expected wait, relative to an idle target of typical speed; lower is better. */
  score: number
  /** The same of the other target that was drawn. */
  otherScore?: number
  /** Own answers' latency over the expected cost, averaged. */
  slowness: number
  running: number
  /** Requests that it may run at once at present, after ramp and trial. */
  allowed: number
}
