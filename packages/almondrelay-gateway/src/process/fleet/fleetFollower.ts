import { sleepFor } from 'almondrelay'
import { computeRetryPause } from '../../request/computeRetryPause.js'
import type { EventLog } from '../observe/eventLog.js'
import type { SuspectRecord } from '../quarantine/suspectRecord.js'
import { CATCH_UP_MS } from '../store/catchUpMs.js'
import { getEventRevision } from '../store/getEventRevision.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreHealth } from '../store/storeHealth.js'
import type { WatchResult } from '../store/watchResult.js'
import type { FleetCodec } from './fleetCodec.js'
import type { FleetState } from './fleetState.js'
import { readEverything } from './readEverything.js'
import type { RelayedChanges } from './relayedChanges.js'
import { FleetUpdater } from './fleetUpdater.js'

/**
 * Wait of one watch of the hosts that watch for their region, in milliseconds: an empty answer to it shows that nothing
 * was missed, so this bounds the age of what a region believes.
 */
const WATCH_MS = 2_000
/** The same where other hosts rely on this one's watch: the age of what it knows is the age of what they know. */
const RELIED_WATCH_MS = 1_000
/** Longest time, in milliseconds, for which a host that relies on others' watches doesn't ask the store without their word. */
const LONGEST_UNASKED_MS = 5_000
/**
 * Milliseconds after the word of a change for the change itself to be handed on: reports of
 * those who have it already cross its datagram. After that it was lost, and the store is asked.
 */
const RELAY_GRACE_MS = 300
/** Wait of the others' watches: they too hear of changes at once, and from peers if their watch has gone silent. */
const LONG_WATCH_MS = 15_000
/**
 * Milliseconds for which peers may know of newer changes before a watch counts as silent: the pause after changes
 * and the interval of peers' reports.
 */
const BEHIND_MS = 1_000
/**
 * Pause after changes, in milliseconds: entries change in groups, as at a start or a release, and each answer
 * of a watch is a call that the platform counts.
 */
const BATCH_MS = 500
/** Milliseconds between looks for entries that lapsed, for a change of who watches and for changes that don't come. */
const CHECK_MS = 200
/** Pause after a failed call, doubled up to the longest, spread by chance so that hosts don't return together. */
const PAUSE = { firstMs: 200, longestMs: 500 }
/**
 * The same for hosts of regions of many that leave watching to others: they go on by themselves only because those don't
 * reach the store either, and with their first word after its return they rely on them again.
 */
const MANY_PAUSE = { firstMs: 1_000, longestMs: 8_000 }

interface FollowerParts {
  store: RevisionStore
  codec: FleetCodec
  fleet: FleetState
  health: StoreHealth
  log: EventLog
  getNow: () => number
  random: () => number
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
  /** Called after a full read that left keys of the product's own out, so that there may be changes among them. */
  handleUnreadKeys: () => void
  /** Whether this host is one of those that watch with short waits for their region. */
  isWatcher: () => boolean
  /** Whether other hosts of the region rely on this one where it watches. */
  isReliedOn: () => boolean
  /** Whether this host may leave it to others to watch, and ask only when they know of a change that decides something. */
  hasReliableWatchers: () => boolean
  /** Hands changes on to the other hosts of the region. */
  relay: (changes: RelayedChanges) => void
}

/** Keeps what the host knows in step with the store. */
export class FleetFollower {
  private readonly updater: FleetUpdater
  /** Ends the wait of the watch that is out. */
  private interrupt: AbortController | undefined
  private isWaitLong = false
  private hasToCatchUp = false
  private newestHeard = 0
  private notableHeard = 0
  /** No watch is out: this host waits for the word of those that watch. */
  private isRelying = false
  private behindSince: number | undefined
  /** Up to which this host knows all that decides something by what was handed on. */
  private handedOnRevision = 0
  /** Since when this host has had the word of a change but not the change. */
  private wordSince: number | undefined

  constructor (private readonly parts: FollowerParts) {
    this.updater = new FleetUpdater(parts)
  }

  async run (signal: AbortSignal): Promise<void> {
    this.parts.health.handleReturn = () => { this.refresh('the store answers again') }
    await Promise.all([...this.parts.codec.prefixes.map((prefix) => this.followPrefix(prefix, signal)), this.keepChecking(signal)])
  }

  /**
   * A peer has seen all changes up to a revision; where this host hasn't for long, its watch is silent. One that relies on
   * others has no watch: that it lacks changes which decide nothing is no fault, and asking for them cost a call a second
   * and host.
   *
   * @param notableRevision the last one that the peer knows by which it decides otherwise than before
   */
  hearRevision (revision: number, notableRevision: number, now: number): void {
    this.newestHeard = Math.max(this.newestHeard, revision)
    this.notableHeard = Math.max(this.notableHeard, notableRevision)
    if (this.isRelying || this.parts.fleet.storeRevision >= this.newestHeard) {
      this.behindSince = undefined
      return
    }
    this.behindSince ??= now
    if (now - this.behindSince < BEHIND_MS) return
    this.behindSince = now
    this.refresh('a peer knows newer changes')
  }

  /**
   * A host that watches for this region knows all changes up to a revision, and handed on what it had to: what this
   * host knows is as fresh as what the watcher knows.
   *
   * @param ageMs milliseconds since the store confirmed what the watcher knows
   */
  hearWatcher (revision: number, notableRevision: number, ageMs: number, now: number): void {
    const { fleet } = this.parts
    if (!this.isRelying || fleet.storeRevision < notableRevision) return
    fleet.storeRevision = Math.max(fleet.storeRevision, revision)
    this.handedOnRevision = fleet.storeRevision
    fleet.confirmedAt = Math.max(fleet.confirmedAt ?? -Infinity, now - ageMs)
  }

  /**
   * Takes in changes that a host which watches for this region hands on. While a call of this host's own is out they are left
   * to its answer, which may be older and would undo them. Changes before them that were lost show by `afterRevision`; then
   * the word of them stays without the change, and the store is asked.
   */
  acceptRelayed ({ afterRevision, upToRevision, events }: RelayedChanges): void {
    const { fleet } = this.parts
    if (!this.isRelying || afterRevision > fleet.storeRevision || upToRevision <= fleet.storeRevision) return
    const known = fleet.storeRevision
    this.updater.applyEvents(events.filter((event) => getEventRevision(event) > known))
    fleet.storeRevision = upToRevision
    this.handedOnRevision = upToRevision
  }

  /** Begins the watch anew, on another connection, and asks at once what was missed. */
  refresh (reason: string): void {
    if (this.interrupt === undefined && !this.isRelying) return
    this.hasToCatchUp = true
    if (this.interrupt === undefined) return
    this.parts.log.record('watch begun anew', { reason, revision: this.parts.fleet.storeRevision })
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
        failures += 1
        await this.waitAfterFailure(failures, signal)
      }
    }
  }

  private async waitAfterFailure (failures: number, signal: AbortSignal): Promise<void> {
    const { fleet, getNow, random, isReliedOn, isWatcher, hasReliableWatchers } = this.parts
    if (!fleet.isComplete || !isReliedOn() || isWatcher()) {
      await sleepFor(computeRetryPause(PAUSE, failures, random()), signal)
      return
    }
    const end = getNow() + computeRetryPause(MANY_PAUSE, failures, random())
    await sleepFor(PAUSE.longestMs, signal)
    while (!signal.aborted && !hasReliableWatchers() && getNow() < end) await sleepFor(CHECK_MS, signal)
  }

  /** Reads everything under a prefix; what isn't there any more is gone. Returns the revision from which to watch. */
  private async readAll (prefix: string, signal: AbortSignal): Promise<number> {
    const { fleet, log } = this.parts
    const read = await readEverything(this.parts.store, this.parts.codec, prefix, signal)
    const { keys, isLapse } = this.updater.applyRead(prefix, read.items.map((item) => ({ kind: 'written', item })))
    this.updater.applyEvents(read.events)
    fleet.isComplete = true
    fleet.storeRevision = Math.max(fleet.storeRevision, read.revision)
    // What vanished in a history that is gone has no change that could be handed on: the others hear that there is something to ask for.
    fleet.notableRevision = Math.max(fleet.notableRevision, read.revision)
    log.record('read from the store', { prefix, revision: read.revision, keys, isLapse })
    // Pages of the account alone don't bring the operators' parts in: hosts that restart have no time to load them.
    if (read.isCutOff) this.parts.handleUnreadKeys()
    return read.revision
  }

  private async watchOnce (prefix: string, revision: number, signal: AbortSignal): Promise<number | undefined> {
    const { fleet, log } = this.parts
    const isOnWord = this.parts.hasReliableWatchers()
    if (isOnWord) await this.waitForWord(signal)
    const known = Math.max(revision, this.handedOnRevision)
    const result = await this.waitForChanges(prefix, known, signal)
    if (result === undefined) return known
    if (result.kind === 'history-gone') {
      log.report('history of the store gone', { prefix, revision: known })
      return undefined
    }
    const notableBefore = fleet.notableRevision
    const notable = this.updater.applyEvents(result.events)
    fleet.storeRevision = Math.max(fleet.storeRevision, result.revision)
    if (notable.length > 0 && this.parts.isReliedOn() && this.parts.isWatcher()) this.parts.relay({ afterRevision: notableBefore, upToRevision: result.revision, events: notable, forwardTo: [] })
    // A host that asks on others' word pauses after each answer: a wrong word of a revision to come would else make it ask without end.
    if (result.events.length > 0 || isOnWord) await sleepFor(BATCH_MS, signal)
    return result.revision
  }

  /**
   * Takes in what the region's watchers hand on, until a change that they know of doesn't come or none of them can be relied
   * on any more.
   *
   * Answers fleets whose every host watches or asks: each change is then a call of every host, and the platform counts calls.
   */
  private async waitForWord (signal: AbortSignal): Promise<void> {
    const { fleet, getNow, hasReliableWatchers } = this.parts
    const startedAt = getNow()
    const isConfirmed = (): boolean => getNow() - Math.max(startedAt, fleet.confirmedAt ?? -Infinity) < LONGEST_UNASKED_MS
    this.isRelying = true
    while (!signal.aborted && !this.hasToCatchUp && !this.isChangeOverdue(getNow()) && hasReliableWatchers() && isConfirmed()) await sleepFor(CHECK_MS, signal)
    this.isRelying = false
    this.hasToCatchUp = true
  }

  /** Whether there was word of a change that decides something, and the change itself hasn't come for too long. */
  private isChangeOverdue (now: number): boolean {
    if (this.notableHeard <= this.parts.fleet.storeRevision) {
      this.wordSince = undefined
      return false
    }
    this.wordSince ??= now
    return now - this.wordSince >= RELAY_GRACE_MS
  }

  /** Undefined where the wait was interrupted. */
  private async waitForChanges (prefix: string, revision: number, signal: AbortSignal): Promise<WatchResult | undefined> {
    const interrupt = new AbortController()
    const handleAbort = (): void => { interrupt.abort() }
    signal.addEventListener('abort', handleAbort)
    this.interrupt = interrupt
    this.isWaitLong = !this.hasToCatchUp && !this.parts.isWatcher()
    const waitMs = this.chooseWaitMs()
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

  private chooseWaitMs (): number {
    if (this.hasToCatchUp) return CATCH_UP_MS
    if (this.isWaitLong) return LONG_WATCH_MS
    return this.parts.isReliedOn() ? RELIED_WATCH_MS : WATCH_MS
  }

  private async keepChecking (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleepFor(CHECK_MS, signal)
      this.updater.expireLapsed()
      if (this.isWaitLong && this.parts.isWatcher()) this.refresh('this host watches for its region now')
    }
  }
}
