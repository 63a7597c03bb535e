import { putBounded } from '../../request/putBounded.js'
import type { FleetChange } from './fleetChange.js'

/** Maximum number of deferred changes: twice the targets and hosts of the largest fleet. */
const MAX_CHANGES = 20_000

/**
 * Changes that a host applies later, unless the store states something else about their subjects before.
 *
 * A store that has returned from a copy lacks what was written since, and still holds what was removed since. Its writers write again;
 * until then what this host heard before is the better word.
 */
export class DeferredChanges {
  private readonly changes = new Map<string, { change: FleetChange, dueAt: number }>()

  /** @param dueAt time from which on the change applies, in monotonic milliseconds */
  put (subject: string, change: FleetChange, dueAt: number): void {
    putBounded(this.changes, subject, { change, dueAt }, MAX_CHANGES)
  }

  /** Drops the change that is deferred for a subject. */
  remove (subject: string): void {
    this.changes.delete(subject)
  }

  /** Drops the deferred entries of targets that a full read does not contain: the store has removed them. */
  removeAbsent (present: ReadonlySet<string>): void {
    for (const [subject, { change }] of this.changes) {
      if (change.kind === 'target' && !present.has(subject)) this.changes.delete(subject)
    }
  }

  /** Returns the changes that are due, and drops them here. */
  takeDue (now: number): FleetChange[] {
    const due = [...this.changes].filter(([, { dueAt }]) => now >= dueAt)
    for (const [subject] of due) this.changes.delete(subject)
    return due.map(([, { change }]) => change)
  }
}
