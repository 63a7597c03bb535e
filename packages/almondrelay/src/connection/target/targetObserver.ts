import type { UnprovedAnswer } from './unprovedAnswer.js'

/** Takes note of what happens on connections to targets. */
export abstract class TargetObserver {
  /** A connection to the target was opened. */
  abstract observeConnection (address: string): void
  abstract observeUnprovedAnswer (answer: UnprovedAnswer): void
}
