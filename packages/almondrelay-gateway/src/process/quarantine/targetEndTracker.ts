import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'
import type { SuspectName } from './suspectName.js'

/** Maximum milliseconds between the loss of a request's answer and the observed exit of its target for both to count as one event. */
const SAME_EVENT_MS = 1_500
/** Maximum number of unanswered requests that are kept for one incarnation of a target. */
const MOST_UNANSWERED = 64

interface LifeRecord {
  /** Monotonic milliseconds at which the exit was observed; undefined while none was observed. */
  endedAt: number | undefined
  unanswered: Map<string, { name: SuspectName, at: number }>
}

/** Finds the requests of this host that a target was running when it exited. */
export class TargetEndTracker {
  private readonly lives = new WeakMap<TargetState, LifeRecord>()

  /** @param recordExit called with each request that was running when a target exited */
  constructor (private readonly recordEnd: (target: TargetState, name: SuspectName, now: number) => void) {}

  /** Records a request that was written to the target and that will get no whole answer from it. */
  observeUnanswered (target: TargetState, name: SuspectName, now: number): void {
    const life = this.findLife(target)
    if (life.endedAt !== undefined && now - life.endedAt <= SAME_EVENT_MS) this.recordEnd(target, name, now)
    else putBounded(life.unanswered, name.fingerprint, { name, at: now }, MOST_UNANSWERED)
  }

  /** Drops a request that another target answered before the exit of this one was observed: the request did not cause the exit. */
  dropUnanswered (target: TargetState, fingerprint: string): void {
    this.lives.get(target)?.unanswered.delete(fingerprint)
  }

  /** Records the exit of the target's process and reports the requests that it was running. */
  observeEnd (target: TargetState, now: number): void {
    const life = this.findLife(target)
    life.endedAt ??= now
    for (const { name, at } of life.unanswered.values()) {
      if (now - at <= SAME_EVENT_MS) this.recordEnd(target, name, now)
    }
    life.unanswered.clear()
  }

  private findLife (target: TargetState): LifeRecord {
    const life = this.lives.get(target) ?? { endedAt: undefined, unanswered: new Map() }
    this.lives.set(target, life)
    return life
  }
}
