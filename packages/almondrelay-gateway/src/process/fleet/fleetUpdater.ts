import { match } from 'ts-pattern'
import { findLapse } from '../../request/findLapse.js'
import type { EventLog } from '../observe/eventLog.js'
import type { TargetEntry } from '../../request/targetEntry.js'
import type { SuspectRecord } from '../quarantine/suspectRecord.js'
import type { StoreEvent } from '../store/storeEvent.js'
import type { StoreHealth } from '../store/storeHealth.js'
import type { FleetChange } from './fleetChange.js'
import type { FleetCodec } from './fleetCodec.js'
import type { FleetState } from './fleetState.js'
import { isNotableChange } from './isNotableChange.js'
import { LatestEntries } from './latestEntries.js'
import { RepeatFilter } from './repeatFilter.js'

interface UpdaterParts {
  codec: FleetCodec
  fleet: FleetState
  health: StoreHealth
  log: EventLog
  getNow: () => number
  ownName: string
  /** Called after a change of the configuration. */
  handleConfiguration: () => void
  /** Called when this host's own entry is gone though it runs. */
  handleOwnEntryGone: () => void
  /** Called with a change of the resources that operators declare. */
  handleDeclared: (revision: number, body: Buffer) => void
  /** Called with a record of a request under which targets ended. */
  handleSuspect: (record: SuspectRecord, revision: number) => void
  /** Called when such a record has lapsed. */
  handleSuspectGone: (fingerprint: string) => void
}

interface DecodedChange {
  change: FleetChange
  event: StoreEvent
  /** Revision of the store at which it was made. */
  revision: number
  /** Revision at which the key came into being; of a deletion, its own. */
  createdRevision: number
}

/** Puts what the store says into the fleet's state, and tells entries that lapsed with the store from targets that are gone. */
export class FleetUpdater {
  /** Targets whose entries are gone and may come back, with the time at which they count as gone. */
  private readonly lapsing = new Map<string, number>()
  /** Revision at which each known target's entry came into being. */
  private readonly createdRevisions = new Map<string, number>()
  /** Requests under which targets ended and that have a record. */
  private readonly suspects = new Set<string>()
  private readonly latest = new LatestEntries()
  private readonly unusable = new RepeatFilter()

  constructor (private readonly parts: UpdaterParts) {}

  /** Takes in everything that stands under a prefix: what isn't there any more is gone. */
  applyRead (prefix: string, events: readonly StoreEvent[]): { keys: number, isLapse: boolean } {
    const known = new Map(this.createdRevisions)
    const present = new Set<string>()
    for (const decoded of events.flatMap((event) => this.decodeEvent(event))) {
      this.applyDecoded(decoded, false)
      present.add(describeSubject(decoded.change))
    }
    const isLapse = findLapse({ known, present: new Map([...this.createdRevisions].filter(([id]) => present.has(`target ${id}`))) })
    this.removeAbsent(prefix, present, isLapse)
    return { keys: present.size, isLapse }
  }

  /** Takes in changes, in order. Returns those by which a host decides otherwise than before. */
  applyEvents (events: readonly StoreEvent[]): StoreEvent[] {
    const changes = events.flatMap((event) => this.decodeEvent(event))
    const isLapse = findLapse({ known: this.createdRevisions, present: this.listPresentAfter(changes) })
    return changes.filter((change) => this.applyDecoded(change, isLapse)).map(({ event }) => event)
  }

  /** Removes the targets whose entries have not come back in time. */
  expireLapsed (): void {
    const now = this.parts.getNow()
    for (const [id, end] of this.lapsing) {
      if (now >= end) this.removeTarget(id, now)
    }
  }

  /** Nothing for a key that means nothing to a host. */
  private decodeEvent (event: StoreEvent): DecodedChange[] {
    const change = this.parts.codec.decode(event)
    if (change === undefined) return []
    if (event.kind === 'deleted') return [{ change, event, revision: event.revision, createdRevision: event.revision }]
    return [{ change, event, revision: event.item.revision, createdRevision: event.item.createdRevision }]
  }

  /** The targets whose entries stand after these changes. */
  private listPresentAfter (changes: readonly DecodedChange[]): Map<string, number> {
    const present = new Map(this.createdRevisions)
    for (const { change, createdRevision } of changes) {
      if (change.kind === 'target-gone' || change.kind === 'target-unreadable') present.delete(change.id)
      if (change.kind === 'target') present.set(change.entry.id, createdRevision)
    }
    return present
  }

  private removeAbsent (prefix: string, present: ReadonlySet<string>, isLapse: boolean): void {
    const { codec, fleet } = this.parts
    const gone: FleetChange[] = [
      ...fleet.listTargetIds().map((id): FleetChange => ({ kind: 'target-gone', id })),
      ...fleet.listHosts().map(({ name }): FleetChange => ({ kind: 'host-gone', name })),
      ...[...this.suspects].map((fingerprint): FleetChange => ({ kind: 'suspect-gone', fingerprint })),
      ...fleet.listEvacuated().map((availabilityZone): FleetChange => ({ kind: 'evacuation', availabilityZone, isEvacuated: false }))
    ]
    for (const change of gone) {
      if (codec.isUnder(prefix, change) && !present.has(describeSubject(change))) this.apply(change, isLapse)
    }
  }

  // One change that can't be applied would else hold up all that come after it, at every host and after each restart.
  private applyDecoded (change: DecodedChange, isLapse: boolean): boolean {
    try {
      return this.applyOne(change, isLapse)
    } catch (error) {
      this.parts.log.logError(`change of the store not applied: ${describeSubject(change.change)}`, error as Error)
      return false
    }
  }

  /** Returns whether a host decides otherwise after the change than before. */
  private applyOne ({ change, revision, createdRevision }: DecodedChange, isLapse: boolean): boolean {
    const { fleet, getNow } = this.parts
    const isNotable = isNotableChange(change, fleet, getNow())
    if (isNotable) fleet.notableRevision = Math.max(fleet.notableRevision, revision)
    this.apply(change, isLapse)
    if (change.kind === 'target' && this.parts.fleet.findTarget(change.entry.id) !== undefined) this.createdRevisions.set(change.entry.id, createdRevision)
    return isNotable
  }

  private apply (change: FleetChange, isLapse: boolean): void {
    const { fleet, log, getNow } = this.parts
    const now = getNow()
    // Nearly all changes are targets: a match over all kinds takes half of what a host that starts does with a thousand of them.
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
        if (fleet.isComplete) log.record('peer', { entry })
        fleet.putHost(entry)
      })
      .with({ kind: 'host-gone' }, ({ name }) => {
        log.record('peer gone', { peer: name })
        if (name === this.parts.ownName) this.parts.handleOwnEntryGone()
        else fleet.removeHost(name)
      })
      .with({ kind: 'declared' }, ({ revision, body }) => { this.parts.handleDeclared(revision, body) })
      .with({ kind: 'suspect' }, ({ record, revision }) => {
        this.suspects.add(record.fingerprint)
        this.parts.handleSuspect(record, revision)
      })
      .with({ kind: 'suspect-gone' }, ({ fingerprint }) => {
        this.suspects.delete(fingerprint)
        this.parts.handleSuspectGone(fingerprint)
      })
      .with({ kind: 'invalid' }, ({ key, reason }) => { this.reportUnusable(key, reason) })
      .exhaustive()
  }

  private applyTarget (entry: TargetEntry, now: number): void {
    const { fleet, log } = this.parts
    const known = fleet.findTarget(entry.id)
    if (!this.latest.accept(entry)) {
      log.record('older entry of a target passed over', { entry })
      // Where targets state no start, fewer heartbeats may also be those of a new life: cold, it would fall over at the rate of a warm one.
      if (known !== undefined && entry.incarnation === undefined) known.markCold(entry.coldForMs, now)
      return
    }
    this.lapsing.delete(entry.id)
    const isRestart = known !== undefined && known.entry.incarnation !== entry.incarnation
    if (isRestart) log.report('target was started again', { entry, before: known.entry.incarnation })
    // The first read is one line of its own: a thousand more in a host's first second take its processor from its callers.
    else if (fleet.isComplete && known?.entry.draining !== entry.draining) log.record('target', { entry })
    fleet.putTarget(entry, now)
  }

  private reportUnusable (key: string, reason: string): void {
    if (this.unusable.accept(key, reason)) this.parts.log.report('value in the store not usable', { key, reason })
  }

  private applyTargetGone (id: string, isLapse: boolean, now: number): void {
    const { fleet, health, log } = this.parts
    const target = fleet.findTarget(id)
    if (target === undefined) return
    if (isLapse && !target.isLeaving()) {
      const end = Math.min(health.findLapseEnd(now), this.lapsing.get(id) ?? Infinity)
      this.lapsing.set(id, end)
      log.record('target entry lapsed while the store was away', { target: id, untilMs: Math.round(end - now) })
      return
    }
    this.removeTarget(id, now)
  }

  private removeTarget (id: string, now: number): void {
    this.lapsing.delete(id)
    this.createdRevisions.delete(id)
    this.parts.fleet.removeTarget(id, now)
    this.parts.log.record('target gone', { target: id })
  }
}

/** Names what a change is about, the same for its coming and its going. */
const describeSubject = (change: FleetChange): string => change.kind === 'target' ? `target ${change.entry.id}` : describeOtherSubject(change)

const describeOtherSubject = (change: Exclude<FleetChange, { kind: 'target' }>): string => match(change)
  .with({ kind: 'configuration' }, () => 'configuration')
  .with({ kind: 'target-gone' }, { kind: 'target-unreadable' }, ({ id }) => `target ${id}`)
  .with({ kind: 'evacuation' }, ({ availabilityZone }) => `evacuation ${availabilityZone}`)
  .with({ kind: 'host' }, ({ entry }) => `host ${entry.name}`)
  .with({ kind: 'host-gone' }, ({ name }) => `host ${name}`)
  .with({ kind: 'declared' }, ({ revision }) => `declared ${revision}`)
  .with({ kind: 'suspect' }, ({ record }) => `suspect ${record.fingerprint}`)
  .with({ kind: 'suspect-gone' }, ({ fingerprint }) => `suspect ${fingerprint}`)
  .with({ kind: 'invalid' }, ({ key }) => `invalid ${key}`)
  .exhaustive()
