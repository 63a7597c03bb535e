import { TargetObserver } from '../targetObserver.js'
import type { UnprovedAnswer } from '../unprovedAnswer.js'

/** Keeps what was observed. */
export class RecordingTargetObserver extends TargetObserver {
  connections = 0
  readonly unproved: UnprovedAnswer[] = []

  override observeConnection (): void {
    this.connections += 1
  }

  override observeUnprovedAnswer (answer: UnprovedAnswer): void {
    this.unproved.push(answer)
  }
}
