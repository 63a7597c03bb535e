import { sleepFor } from 'almondrelay'
import { match } from 'ts-pattern'
import type { EventLog } from '../observe/eventLog.js'
import { findLapse } from '../../request/findLapse.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreEvent } from '../store/storeEvent.js'
import type { StoreItem } from '../store/storeItem.js'
import type { StoreHealth } from '../store/storeHealth.js'
import type { WatchResult } from '../store/watchResult.js'
import type { FleetChange } from './fleetChange.js'
import type { FleetCodec } from './fleetCodec.js'
import type { FleetState } from './fleetState.js'

/**
 * Wait of one watch of the hosts that watch for their region, in milliseconds: an empty answer to it shows that nothing
 * was missed, so this bounds the age of what a region believes. Changes of targets must be known within 2.5 s.
 */
const WATCH_MS = 2_000
/** Wait of the others' watches: they too hear of changes at once, and from peers if their watch has gone silent. */
const LONG_WATCH_MS = 15_000
/** Wait of a watch that only asks what was missed. */
const CATCH_UP_MS = 1
/**
 * Milliseconds for which peers may know of newer changes before a watch counts as silent: the pause after changes
 * and the interval of peers' reports. With it such a host is back in step 1.7 s after a change at the latest.
 */
const BEHIND_MS = 1_000
/**
 * Pause after changes, in milliseconds: entries change in groups, as at a start or a release, and each answer
 * of a watch is a call that the platform counts. Buys a third of all calls of a quiet day.
 */
const BATCH_MS = 500
/** Pause after a failed call, doubled up to the longest, spread by chance so that hosts don't return together. */
const FIRST_PAUSE_MS = 100
const LONGEST_PAUSE_MS = 500

interface FollowerParts {
  store: RevisionStore
  codec: FleetCodec
  fleet: FleetState
  health: StoreHealth
  log: EventLog
  getNow: () => number
  random: () => number
  /** Called after a change of the configuration. */
  handleConfiguration: () => void
  /** Called when this host's own entry is gone though it runs. */
  handleOwnEntryGone: () => void
  ownName: string
  /** Whether this host is one of those that watch with short waits for their region. */
  isWatcher: () => boolean
}

interface DecodedChange {
  change: FleetChange
  /** Revision at which the key came into being; of a deletion, its own. */
  createdRevision: number
}

/** Keeps what the host knows in step with the store. */
export class FleetFollower {
  /** Targets whose entries are gone and may come back, with the time at which they count as gone. */
  private readonly lapsing = new Map<string, number>()
  /** Revision at which each known target's entry came into being. */
  private readonly createdRevisions = new Map<string, number>()
  /** Ends the wait of the watch that is out. */
  private interrupt: AbortController | undefined
  private isWaitLong = false
  private hasToCatchUp = false
  private newestHeard = 0
  private behindSince: number | undefined

  constructor (private readonly parts: FollowerParts) {}

  async run (signal: AbortSignal): Promise<void> {
    this.parts.health.handleReturn = () => { this.refresh('the store answers again') }
    await Promise.all([...this.parts.codec.prefixes.map((prefix) => this.followPrefix(prefix, signal)), this.expireLapsed(signal)])
  }

  /** A peer has seen all changes up to a revision; where this host hasn't for long, its watch is silent. */
  hearRevision (revision: number, now: number): void {
    this.newestHeard = Math.max(this.newestHeard, revision)
    if (this.parts.fleet.storeRevision >= this.newestHeard) {
      this.behindSince = undefined
      return
    }
    this.behindSince ??= now
    if (now - this.behindSince < BEHIND_MS) return
    this.behindSince = now
    this.refresh('a peer knows newer changes')
  }

  /** Begins the watch anew, on another connection, and asks at once what was missed. */
  refresh (reason: string): void {
    if (this.interrupt === undefined) return
    this.parts.log.record('watch begun anew', { reason, revision: this.parts.fleet.storeRevision })
    this.hasToCatchUp = true
    this.interrupt.abort()
  }

  private async followPrefix (prefix: string, signal: AbortSignal): Promise<void> {
    let failures = 0
    let revision: number | undefined
    while (!signal.aborted) {
      try {
        revision = revision === undefined ? await this.readAll(prefix, signal) : await this.watchOnce(prefix, revision, signal)
        failures = 0
        this.parts.fleet.confirmedAt = this.parts.getNow()
      } catch (error) {
        if (signal.aborted) return
        this.parts.log.logError('store not followed', error as Error)
        revision = undefined
        failures += 1
        const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures)
        await sleepFor(pauseMs * (0.5 + this.parts.random()), signal)
      }
    }
  }

  /** Reads everything under a prefix; what isn't there any more is gone. Returns the revision from which to watch. */
  private async readAll (prefix: string, signal: AbortSignal): Promise<number> {
    const { store, fleet, log } = this.parts
    const items: StoreItem[] = []
    let first: number | undefined
    for (;;) {
      const page = await store.list(prefix, items.at(-1)?.key ?? '', signal)
      first ??= page.revision
      items.push(...page.items)
      if (!page.isTruncated) break
    }
    const known = new Map(this.createdRevisions)
    const present = new Set<string>()
    for (const decoded of items.flatMap((item) => this.decodeEvent({ kind: 'written', item }))) {
      this.applyDecoded(decoded, false)
      present.add(describeSubject(decoded.change))
    }
    const isLapse = findLapse({ known, present: new Map([...this.createdRevisions].filter(([id]) => present.has(`target ${id}`))) })
    this.removeAbsent(prefix, present, isLapse)
    fleet.isComplete = true
    fleet.storeRevision = Math.max(fleet.storeRevision, first)
    log.record('read from the store', { prefix, revision: first, keys: present.size, isLapse })
    return first
  }

  private async watchOnce (prefix: string, revision: number, signal: AbortSignal): Promise<number | undefined> {
    const result = await this.waitForChanges(prefix, revision, signal)
    if (result === undefined) return revision
    if (result.kind === 'history-gone') {
      this.parts.log.report('history of the store gone', { prefix, revision })
      return undefined
    }
    const changes = result.events.flatMap((event) => this.decodeEvent(event))
    const isLapse = findLapse({ known: this.createdRevisions, present: this.listPresentAfter(changes) })
    for (const change of changes) this.applyDecoded(change, isLapse)
    this.parts.fleet.storeRevision = Math.max(this.parts.fleet.storeRevision, result.revision)
    if (result.events.length > 0) await sleepFor(BATCH_MS, signal)
    return result.revision
  }

  /** Undefined where the wait was interrupted. */
  private async waitForChanges (prefix: string, revision: number, signal: AbortSignal): Promise<WatchResult | undefined> {
    const interrupt = new AbortController()
    const handleAbort = (): void => { interrupt.abort() }
    signal.addEventListener('abort', handleAbort)
    this.interrupt = interrupt
    this.isWaitLong = !this.hasToCatchUp && !this.parts.isWatcher()
    const waitMs = this.hasToCatchUp ? CATCH_UP_MS : this.isWaitLong ? LONG_WATCH_MS : WATCH_MS
    this.hasToCatchUp = false
    try {
      return await this.parts.store.watch(prefix, revision, waitMs, interrupt.signal)
    } catch (error) {
      if (interrupt.signal.aborted && !signal.aborted) return undefined
      throw error
    } finally {
      signal.removeEventListener('abort', handleAbort)
      this.interrupt = undefined
      this.isWaitLong = false
    }
  }

  /** The targets whose entries stand after these changes. */
  private listPresentAfter (changes: readonly DecodedChange[]): Map<string, number> {
    const present = new Map(this.createdRevisions)
    for (const { change, createdRevision } of changes) {
      if (change.kind === 'target-gone') present.delete(change.id)
      if (change.kind === 'target') present.set(change.entry.id, createdRevision)
    }
    return present
  }

  /** Nothing for a key that means nothing to a host. */
  private decodeEvent (event: StoreEvent): DecodedChange[] {
    const change = this.parts.codec.decode(event)
    if (change === undefined) return []
    return [{ change, createdRevision: event.kind === 'written' ? event.item.createdRevision : event.revision }]
  }

  private removeAbsent (prefix: string, present: ReadonlySet<string>, isLapse: boolean): void {
    const { codec, fleet } = this.parts
    const gone: FleetChange[] = [
      ...fleet.listTargetIds().map((id): FleetChange => ({ kind: 'target-gone', id })),
      ...fleet.listHosts().map(({ name }): FleetChange => ({ kind: 'host-gone', name })),
      ...fleet.listEvacuated().map((availabilityZone): FleetChange => ({ kind: 'evacuation', availabilityZone, isEvacuated: false }))
    ]
    for (const change of gone) {
      if (codec.isUnder(prefix, change) && !present.has(describeSubject(change))) this.apply(change, isLapse)
    }
  }

  private applyDecoded ({ change, createdRevision }: DecodedChange, isLapse: boolean): void {
    this.apply(change, isLapse)
    if (change.kind === 'target') this.createdRevisions.set(change.entry.id, createdRevision)
  }

  private apply (change: FleetChange, isLapse: boolean): void {
    const { fleet, log, getNow } = this.parts
    const now = getNow()
    match(change)
      .with({ kind: 'configuration' }, ({ configuration }) => {
        if (!fleet.adoptConfiguration(configuration)) return
        log.report('configuration in force', { version: configuration.version, routes: configuration.routes.length })
        this.parts.handleConfiguration()
      })
      .with({ kind: 'target' }, ({ entry }) => {
        this.lapsing.delete(entry.id)
        const known = fleet.findTarget(entry.id)
        if (known === undefined || known.entry.draining !== entry.draining) log.record('target', { entry })
        fleet.putTarget(entry, now)
      })
      .with({ kind: 'target-gone' }, ({ id }) => { this.applyTargetGone(id, isLapse, now) })
      .with({ kind: 'evacuation' }, ({ availabilityZone, isEvacuated }) => {
        if (fleet.isEvacuated(availabilityZone) !== isEvacuated) log.report('evacuation', { availabilityZone, isEvacuated })
        fleet.setEvacuated(availabilityZone, isEvacuated)
      })
      .with({ kind: 'host' }, ({ entry }) => {
        log.record('peer', { entry })
        fleet.putHost(entry)
      })
      .with({ kind: 'host-gone' }, ({ name }) => {
        log.record('peer gone', { peer: name })
        if (name === this.parts.ownName) this.parts.handleOwnEntryGone()
        else fleet.removeHost(name)
      })
      .with({ kind: 'invalid' }, ({ key, reason }) => { log.report('value in the store not usable; the one before stays in force', { key, reason }) })
      .exhaustive()
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

  private async expireLapsed (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleepFor(FIRST_PAUSE_MS, signal)
      const now = this.parts.getNow()
      for (const [id, end] of this.lapsing) {
        if (now >= end) this.removeTarget(id, now)
      }
      if (this.isWaitLong && this.parts.isWatcher()) this.refresh('this host watches for its region now')
    }
  }
}

const describeSubject = (change: FleetChange): string => match(change)
  .with({ kind: 'configuration' }, () => 'configuration')
  .with({ kind: 'target' }, ({ entry }) => `target ${entry.id}`)
  .with({ kind: 'target-gone' }, ({ id }) => `target ${id}`)
  .with({ kind: 'evacuation' }, ({ availabilityZone }) => `evacuation ${availabilityZone}`)
  .with({ kind: 'host' }, ({ entry }) => `host ${entry.name}`)
  .with({ kind: 'host-gone' }, ({ name }) => `host ${name}`)
  .with({ kind: 'invalid' }, ({ key }) => `invalid ${key}`)
  .exhaustive()
