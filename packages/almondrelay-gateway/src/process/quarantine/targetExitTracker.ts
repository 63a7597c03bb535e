import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'
import type { SuspectId } from './suspectId.js'

/** Maximum milliseconds between the loss of a request's answer and the observed exit of its target for both to count as one event. */
const SAME_EXIT_WINDOW_MS = 1_500
/** Maximum number of unanswered requests that are kept for one incarnation of a target. */
const MAX_UNANSWERED = 64

interface IncarnationRecord {
  /** Monotonic milliseconds at which the exit was observed; undefined while none was observed. */
  exitedAt: number | undefined
  unanswered: Map<string, { name: SuspectId, at: number }>
}

/** Finds the requests of this host that a target was running when it exited. */
export class TargetExitTracker {
  private readonly incarnations = new WeakMap<TargetState, IncarnationRecord>()

  /** @param recordExit called with each request that was running when a target exited */
  constructor (private readonly recordExit: (target: TargetState, suspectId: SuspectId, now: number) => void) {}

  /** Records a request that was written to the target and that will get no whole answer from it. */
  observeUnanswered (target: TargetState, name: SuspectId, now: number): void {
    const record = this.findIncarnation(target)
    if (record.exitedAt !== undefined && now - record.exitedAt <= SAME_EXIT_WINDOW_MS) this.recordExit(target, name, now)
    else putBounded(record.unanswered, name.fingerprint, { name, at: now }, MAX_UNANSWERED)
  }

  /** Drops a request that another target answered before the exit of this one was observed: the request did not cause the exit. */
  dropUnanswered (target: TargetState, fingerprint: string): void {
    this.incarnations.get(target)?.unanswered.delete(fingerprint)
  }

  /** Records the exit of the target's process and reports the requests that it was running. */
  observeExit (target: TargetState, now: number): void {
    const record = this.findIncarnation(target)
    record.exitedAt ??= now
    for (const { name, at } of record.unanswered.values()) {
      if (now - at <= SAME_EXIT_WINDOW_MS) this.recordExit(target, name, now)
    }
    record.unanswered.clear()
  }

  private findIncarnation (target: TargetState): IncarnationRecord {
    const record = this.incarnations.get(target) ?? { exitedAt: undefined, unanswered: new Map() }
    this.incarnations.set(target, record)
    return record
  }
}
