import type { EventLog } from '../observe/eventLog.js'
import { DeferredChanges } from './deferredChanges.js'
import { describeSubject } from './describeSubject.js'
import type { FleetChange } from './fleetChange.js'
import type { FleetState } from './fleetState.js'
import { isReflected } from './isReflected.js'
import { RecentRemovals } from './recentRemovals.js'

/**
 * Milliseconds for which a host or evacuation that a store lacks after its return from a copy is kept: a host renews its entry every
 * 1.3 s, and operators write again what they wrote. Requests to a zone that is being evacuated do more harm than a zone left unused.
 */
const MISSING_HOST_GRACE_MS = 5_000
const MISSING_EVACUATION_GRACE_MS = 10_000
/**
 * Milliseconds for which a target that the store had removed, and holds again after its return from a copy, is not used: its entry
 * expires within three heartbeats if it has exited.
 */
const REMOVED_TARGET_HOLD_MS = 6_000

interface MemoryParts {
  fleet: FleetState
  log: EventLog
  getNow: () => number
  ownName: string
}

/**
 * What this host knows from before the store's return from a copy, where the copy lacks it or states otherwise. Its writers write again;
 * until then what was heard before is the better word.
 */
export class ReturnMemory {
  private readonly deferred = new DeferredChanges()
  private readonly removals = new RecentRemovals()
  private readonly unconfirmed = new Set<string>()

  constructor (private readonly parts: MemoryParts) {}

  observeRemoval (targetId: string): void {
    this.removals.add(describeSubject({ kind: 'target-gone', id: targetId }), this.parts.getNow())
  }

  /** Notes whether this host knows otherwise than the copy, after the copy's statement was applied. */
  checkCopy (change: FleetChange): void {
    if (!isReflected(change, this.parts.fleet)) this.unconfirmed.add(describeSubject(change))
  }

  /** Defers a removal that only the store's return from a copy suggests. Returns false if there is no reason to wait. */
  scheduleRemoval (change: FleetChange): boolean {
    const subject = describeSubject(change)
    this.unconfirmed.add(subject)
    const graceMs = change.kind === 'evacuation' ? MISSING_EVACUATION_GRACE_MS : MISSING_HOST_GRACE_MS
    const isDeferred = change.kind === 'evacuation' || (change.kind === 'host-gone' && change.name !== this.parts.ownName)
    if (isDeferred) this.deferred.put(subject, change, this.parts.getNow() + graceMs)
    return isDeferred
  }

  /** Defers a target's entry that the store had removed before it returned from a copy. Returns false for all other changes. */
  scheduleRestored (change: FleetChange): boolean {
    const { fleet, log, getNow } = this.parts
    const subject = describeSubject(change)
    if (change.kind !== 'target' || fleet.findTarget(change.entry.id) !== undefined || !this.removals.has(subject, getNow())) return false
    this.deferred.put(subject, change, getNow() + REMOVED_TARGET_HOLD_MS)
    log.record('entry of a removed target is in the store again', { entry: change.entry })
    return true
  }

  /**
   * Returns whether the store has not yet stated, since its return, what this host knows of a change's subject. Such a statement is notable
   * although nothing changes here: other hosts may not know it.
   */
  isUnconfirmed (change: FleetChange): boolean {
    return this.unconfirmed.has(describeSubject(change))
  }

  /** Drops what is held about a change's subject, as the store has stated it. */
  acceptStatement (change: FleetChange): void {
    const subject = describeSubject(change)
    this.deferred.remove(subject)
    this.unconfirmed.delete(subject)
  }

  /** Drops restored entries that a full read no longer contains. */
  removeAbsent (present: ReadonlySet<string>): void {
    this.deferred.removeAbsent(present)
  }

  /** Returns the deferred changes that the store has not contradicted in time. */
  takeDue (): FleetChange[] {
    return this.deferred.takeDue(this.parts.getNow())
  }
}
