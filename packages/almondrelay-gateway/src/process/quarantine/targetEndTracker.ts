import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'
import type { SuspectName } from './suspectName.js'

/** Milliseconds between the loss of a request's answer and the end of its target that are taken for one event. */
const SAME_EVENT_MS = 1_500
/** Requests without an answer that are remembered of one life of a target. */
const MOST_UNANSWERED = 64

interface LifeRecord {
  /** Monotonic milliseconds at which its end was seen; undefined while it isn't known to have ended. */
  endedAt: number | undefined
  unanswered: Map<string, { name: SuspectName, at: number }>
}

/** Tells which of this host's requests a target had when it ended. */
export class TargetEndTracker {
  private readonly lives = new WeakMap<TargetState, LifeRecord>()

  /** @param recordEnd called with each request that a target had when it ended */
  constructor (private readonly recordEnd: (target: TargetState, name: SuspectName, now: number) => void) {}

  /** A request that was written to the target has no whole answer and will get none. */
  observeUnanswered (target: TargetState, name: SuspectName, now: number): void {
    const life = this.findLife(target)
    if (life.endedAt !== undefined && now - life.endedAt <= SAME_EVENT_MS) this.recordEnd(target, name, now)
    else putBounded(life.unanswered, name.fingerprint, { name, at: now }, MOST_UNANSWERED)
  }

  /** The request was answered by another target before the end of this one was seen: it isn't what ended it. */
  dropUnanswered (target: TargetState, fingerprint: string): void {
    this.lives.get(target)?.unanswered.delete(fingerprint)
  }

  /** The life of the target has ended. */
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
