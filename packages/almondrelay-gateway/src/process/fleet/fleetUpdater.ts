import { match } from 'ts-pattern'
import { isLapseLikely } from '../../request/isLapseLikely.js'
import type { EventLog } from '../observe/eventLog.js'
import type { TargetEntry } from '../../request/targetEntry.js'
import type { TargetState } from '../../request/targetState.js'
import type { SuspectRecord } from '../quarantine/suspectRecord.js'
import { findLaterPosition } from '../store/findLaterPosition.js'
import { getEventRevision } from '../store/getEventRevision.js'
import type { StoreEvent } from '../store/storeEvent.js'
import type { StoreHealth } from '../store/storeHealth.js'
import type { StorePosition } from '../store/storePosition.js'
import type { FleetChange } from './fleetChange.js'
import { describeSubject } from './describeSubject.js'
import { dropSupersededValues } from './dropSupersededValues.js'
import type { FleetCodec } from './fleetCodec.js'
import type { FleetState } from './fleetState.js'
import { isNotableChange } from './isNotableChange.js'
import { LatestEntries } from './latestEntries.js'
import { RepeatFilter } from './repeatFilter.js'
import { ReturnMemory } from './returnMemory.js'

interface UpdaterParts {
  codec: FleetCodec
  fleet: FleetState
  health: StoreHealth
  log: EventLog
  getNow: () => number
  ownName: string
  /** Called after a new configuration has come into force. */
  handleConfiguration: () => void
  /** Called when this host's own entry was removed from the store while the host is running. */
  handleOwnEntryRemoved: () => void
  /** Called with a change of the resources that operators declare. */
  handleDeclaredChange: (revision: number, body: Buffer) => void
  /** Called with the record of a request that was running when targets exited. */
  handleSuspectRecord: (record: SuspectRecord, position: StorePosition) => void
  /** Called when such a record was removed or has expired. */
  handleSuspectRecordRemoved: (fingerprint: string) => void
}

interface DecodedChange {
  change: FleetChange
  event: StoreEvent
  /** Position of the store at which the change was made. */
  position: StorePosition
  /** Revision at which the key was created; for a deletion, that of the deletion. */
  createdRevision: number
}

interface FullReadResult {
  /** Number of keys read. */
  keys: number
  isLapse: boolean
  /** The latest era in which one of the hosts' entries was written; undefined if there are none. */
  latestHostEra: number | undefined
  /** The notable changes that the read showed, in order; empty after a return of the store from a copy. */
  notable: StoreEvent[]
}

/**
 * Applies changes of the store to the fleet's state. Distinguishes a lapse, in which targets' entries expired because the store
 * was unavailable and may be written again, from targets that have left.
 */
export class FleetUpdater {
  /** Targets whose entries have lapsed and may be written again, with the time at which the targets are removed. */
  private readonly lapsing = new Map<string, number>()
  /** Revision at which each known target's entry was created. */
  private readonly createdRevisions = new Map<string, number>()
  /** Fingerprints of the requests that have a suspect record. */
  private readonly suspects = new Set<string>()
  /** Era of the changes that are being applied. */
  private era = 0
  private readonly latestEntries = new LatestEntries()
  private readonly returnMemory: ReturnMemory
  private readonly unusableValues = new RepeatFilter()

  constructor (private readonly parts: UpdaterParts) {
    this.returnMemory = new ReturnMemory(parts)
  }

  /**
   * Applies a full read of a prefix: whatever is known under the prefix and is missing from the read is removed.
   *
   * @param position position of the store up to which the read is complete
   */
  applyFullRead (prefix: string, events: readonly StoreEvent[], position: StorePosition): FullReadResult {
    const { fleet } = this.parts
    const { era } = position
    this.era = era
    const notable: StoreEvent[] = []
    const hasReturned = fleet.isComplete && era !== fleet.storePosition.era
    let latestHostEra: number | undefined
    const changes = events.flatMap((event) => this.decodeEvent(event, era))
    const isLapse = hasReturned || isLapseLikely({ known: this.createdRevisions, present: this.listPresentAfter(changes, new Map()) })
    const present = new Set<string>()
    for (const decoded of changes) {
      const isDeferred = hasReturned && this.returnMemory.scheduleRestored(decoded.change)
      if (!isDeferred && this.tryApplyChange(decoded, false)) notable.push(decoded.event)
      present.add(describeSubject(decoded.change))
      if (hasReturned) this.returnMemory.checkCopy(decoded.change)
      if (decoded.change.kind === 'host') latestHostEra = Math.max(latestHostEra ?? 0, decoded.change.entry.storeEra ?? 0)
    }
    notable.push(...this.removeAbsent(prefix, present, isLapse, hasReturned).map((key): StoreEvent => ({ kind: 'deleted', key, revision: position.revision })))
    this.returnMemory.removeAbsent(present)
    return { keys: present.size, isLapse, latestHostEra, notable: hasReturned ? [] : sortByRevision(notable) }
  }

  /** Applies changes in order. Returns the notable ones. */
  applyEvents (events: readonly StoreEvent[], era: number): StoreEvent[] {
    this.era = era
    const changes = dropSupersededValues(events).flatMap((event) => this.decodeEvent(event, era))
    const isLapse = isLapseLikely({ known: this.createdRevisions, present: this.listPresentAfter(changes, this.createdRevisions) })
    return changes.filter((change) => this.tryApplyChange(change, isLapse)).map(({ event }) => event)
  }

  /** Removes the targets whose lapsed entries were not written again in time, and applies deferred changes that are due. */
  expireLapsed (): void {
    const now = this.parts.getNow()
    for (const [id, end] of this.lapsing) {
      if (now >= end) this.removeTarget(id, now)
    }
    for (const change of this.returnMemory.takeDue()) this.applyDeferred(change)
  }

  /** Returns an empty list for a key that hosts do not use. */
  private decodeEvent (event: StoreEvent, era: number): DecodedChange[] {
    const change = this.parts.codec.decode(event)
    if (change === undefined) return []
    const position = { era, revision: getEventRevision(event) }
    return [{ change, event, position, createdRevision: event.kind === 'deleted' ? event.revision : event.item.createdRevision }]
  }

  /**
   * Lists the targets whose entries exist after these changes, with the revisions at which the entries were created. A target that was
   * started again has written its entry anew for that reason, and counts with the revision that is known.
   */
  private listPresentAfter (changes: readonly DecodedChange[], before: ReadonlyMap<string, number>): Map<string, number> {
    const present = new Map(before)
    for (const { change, createdRevision } of changes) {
      if (change.kind === 'target-gone' || change.kind === 'target-unreadable') present.delete(change.id)
      if (change.kind === 'target') present.set(change.entry.id, this.isStartedAgain(change.entry) ? this.createdRevisions.get(change.entry.id) ?? createdRevision : createdRevision)
    }
    return present
  }

  private isStartedAgain ({ id, incarnation }: TargetEntry): boolean {
    const known = this.parts.fleet.findTarget(id)
    return known !== undefined && known.entry.incarnation !== incarnation
  }

  /** Returns the keys of what was removed. */
  private removeAbsent (prefix: string, present: ReadonlySet<string>, isLapse: boolean, hasReturned: boolean): string[] {
    const { codec, fleet } = this.parts
    const keys: string[] = []
    const removals: FleetChange[] = [
      ...fleet.listTargetIds().map((id): FleetChange => ({ kind: 'target-gone', id })),
      ...fleet.listHosts().map(({ name }): FleetChange => ({ kind: 'host-gone', name })),
      ...[...this.suspects].map((fingerprint): FleetChange => ({ kind: 'suspect-gone', fingerprint })),
      ...fleet.listEvacuated().map((availabilityZone): FleetChange => ({ kind: 'evacuation', availabilityZone, isEvacuated: false }))
    ]
    for (const change of removals) {
      if (!codec.isUnder(prefix, change) || present.has(describeSubject(change))) continue
      // The revision at which the lost entry was created would make the next one look like a lapse.
      if (hasReturned && change.kind === 'target-gone') this.createdRevisions.delete(change.id)
      if (hasReturned && this.returnMemory.scheduleRemoval(change)) continue
      this.apply(change, isLapse)
      const key = codec.findDeletedKey(change)
      if (key !== undefined) keys.push(key)
    }
    return keys
  }

  private applyDeferred (change: FleetChange): void {
    if (change.kind === 'target') this.latestEntries.drop(change.entry.id)
    this.parts.log.record('deferred change applied after the return of the store', { subject: describeSubject(change) })
    this.apply(change, false)
  }

  // Otherwise one change that can't be applied would block all later ones, on every host and again after each restart.
  private tryApplyChange (change: DecodedChange, isLapse: boolean): boolean {
    try {
      return this.applyChange(change, isLapse)
    } catch (error) {
      this.parts.log.logError(`change of the store not applied: ${describeSubject(change.change)}`, error as Error)
      return false
    }
  }

  /** Returns whether the change is notable. */
  private applyChange ({ change, position, createdRevision }: DecodedChange, isLapse: boolean): boolean {
    const { fleet, getNow } = this.parts
    const isNotable = isNotableChange(change, fleet, getNow()) || this.returnMemory.isUnconfirmed(change)
    this.returnMemory.acceptStatement(change)
    if (isNotable) fleet.notablePosition = findLaterPosition(fleet.notablePosition, position)
    this.apply(change, isLapse)
    if (change.kind === 'target' && this.parts.fleet.findTarget(change.entry.id) !== undefined) this.createdRevisions.set(change.entry.id, createdRevision)
    return isNotable
  }

  private apply (change: FleetChange, isLapse: boolean): void {
    const { fleet, log, getNow } = this.parts
    const now = getNow()
    // Nearly all changes are target entries: a match over all kinds takes half of the time that a starting host spends on a thousand.
    if (change.kind === 'target') {
      this.applyTarget(change.entry, now)
      return
    }
    match(change)
      .with({ kind: 'configuration' }, ({ configuration }) => {
        if (!fleet.adoptConfiguration(configuration)) return
        log.report('configuration in force', { version: configuration.version, routes: configuration.routes.length })
        this.parts.handleConfiguration()
      })
      .with({ kind: 'target-gone' }, ({ id }) => { this.applyTargetGone(id, isLapse, now) })
      .with({ kind: 'target-unreadable' }, ({ id, key, reason }) => {
        this.reportUnusable(key, reason)
        if (fleet.findTarget(id) !== undefined) this.removeTarget(id, now)
      })
      .with({ kind: 'evacuation' }, ({ availabilityZone, isEvacuated }) => {
        if (fleet.isEvacuated(availabilityZone) !== isEvacuated) log.report('evacuation', { availabilityZone, isEvacuated })
        fleet.setEvacuated(availabilityZone, isEvacuated)
      })
      .with({ kind: 'host' }, ({ entry }) => {
        if (fleet.isComplete && fleet.findHost(entry.name)?.incarnation !== entry.incarnation) log.record('peer', { entry })
        fleet.putHost(entry)
      })
      .with({ kind: 'host-gone' }, ({ name }) => {
        log.record('peer removed', { peer: name })
        if (name === this.parts.ownName) this.parts.handleOwnEntryRemoved()
        else fleet.removeHost(name)
      })
      .with({ kind: 'declared' }, ({ revision, body }) => { this.parts.handleDeclaredChange(revision, body) })
      .with({ kind: 'suspect' }, ({ record, revision }) => {
        this.suspects.add(record.fingerprint)
        this.parts.handleSuspectRecord(record, { era: this.era, revision })
      })
      .with({ kind: 'suspect-gone' }, ({ fingerprint }) => {
        this.suspects.delete(fingerprint)
        this.parts.handleSuspectRecordRemoved(fingerprint)
      })
      .with({ kind: 'invalid' }, ({ key, reason }) => { this.reportUnusable(key, reason) })
      .exhaustive()
  }

  private applyTarget (entry: TargetEntry, now: number): void {
    const { fleet, log } = this.parts
    const known = fleet.findTarget(entry.id)
    if (!this.latestEntries.accept(entry, now)) {
      log.record('outdated target entry ignored', { entry })
      if (known !== undefined) this.applyWarnings(known, entry, now)
      return
    }
    this.lapsing.delete(entry.id)
    const isRestart = known !== undefined && known.entry.incarnation !== entry.incarnation
    if (isRestart) log.report('target was started again', { entry, before: known.entry.incarnation })
    // The first read is logged as a single line: a thousand more in a host's first second would take processor time from its callers.
    else if (fleet.isComplete && known?.entry.draining !== entry.draining) log.record('target', { entry })
    fleet.putTarget(entry, now)
  }

  // An entry that looks older may be that of a restarted target. One that was started while its clock was ahead would go on getting
  // requests after it has announced that it leaves, and one that is cold would collapse at the request rate of a warm one. The next entry
  // of the known incarnation takes back that it leaves.
  private applyWarnings (known: TargetState, { coldForMs, draining }: TargetEntry, now: number): void {
    known.markCold(coldForMs, now)
    if (!draining || known.entry.draining) return
    this.parts.log.record('target announces that it leaves in an entry that looks older', { target: known.entry.id })
    known.updateEntry({ ...known.entry, coldForMs: 0, draining }, now)
  }

  private reportUnusable (key: string, reason: string): void {
    if (this.unusableValues.accept(key, reason)) this.parts.log.report('value in the store not usable', { key, reason })
  }

  private applyTargetGone (id: string, isLapse: boolean, now: number): void {
    const { fleet, health, log } = this.parts
    const target = fleet.findTarget(id)
    if (target === undefined) return
    const lapseEnd = isLapse && !target.isLeaving() ? health.findLapseEnd(now) : undefined
    if (lapseEnd === undefined) {
      this.removeTarget(id, now)
      return
    }
    const end = Math.min(lapseEnd, this.lapsing.get(id) ?? Infinity)
    this.lapsing.set(id, end)
    log.record('target entry expired while the store was unavailable', { target: id, untilMs: Math.round(end - now) })
  }

  private removeTarget (id: string, now: number): void {
    this.lapsing.delete(id)
    this.createdRevisions.delete(id)
    this.returnMemory.observeRemoval(id)
    this.parts.fleet.removeTarget(id, now)
    this.parts.log.record('target removed', { target: id })
  }
}

const sortByRevision = (events: readonly StoreEvent[]): StoreEvent[] => events.toSorted((one, other) => getEventRevision(one) - getEventRevision(other))
