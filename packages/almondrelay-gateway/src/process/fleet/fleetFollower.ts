import { sleepFor } from 'almondrelay'
import type { EventLog } from '../observe/eventLog.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreItem } from '../store/storeItem.js'
import type { StoreHealth } from '../store/storeHealth.js'
import type { WatchResult } from '../store/watchResult.js'
import type { FleetCodec } from './fleetCodec.js'
import type { FleetState } from './fleetState.js'
import { FleetUpdater } from './fleetUpdater.js'

/**
 * Wait of one watch of the hosts that watch for their region, in milliseconds: an empty answer to it shows that nothing
 * was missed, so this bounds the age of what a region believes. Changes of targets must be known within 2.5 s.
 */
const WATCH_MS = 2_000
/** The same where other hosts rely on this one's watch: the age of what it knows is the age of what they know. */
const RELIED_WATCH_MS = 1_000
/** Longest time, in milliseconds, for which a host that relies on others' watches doesn't ask the store itself. */
const LONGEST_UNASKED_MS = 5_000
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
/** Milliseconds between looks for entries that lapsed and for a change of who watches. */
const CHECK_MS = 100
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
  ownName: string
  /** Called after a change of the configuration. */
  handleConfiguration: () => void
  /** Called when this host's own entry is gone though it runs. */
  handleOwnEntryGone: () => void
  /** Called with a change of the resources that operators declare. */
  handleDeclared: (revision: number, body: Buffer) => void
  /** Called after a full read that left keys of the product's own out, so that there may be changes among them. */
  handleUnreadKeys: () => void
  /** Whether this host is one of those that watch with short waits for their region. */
  isWatcher: () => boolean
  /** Whether other hosts of the region rely on this one where it watches. */
  isReliedOn: () => boolean
  /** Whether this host may leave it to others to watch, and ask only when they know of a change that decides something. */
  hasReliableWatchers: () => boolean
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

  constructor (private readonly parts: FollowerParts) {
    this.updater = new FleetUpdater(parts)
  }

  async run (signal: AbortSignal): Promise<void> {
    this.parts.health.handleReturn = () => { this.refresh('the store answers again') }
    await Promise.all([...this.parts.codec.prefixes.map((prefix) => this.followPrefix(prefix, signal)), this.keepChecking(signal)])
  }

  /**
   * A peer has seen all changes up to a revision; where this host hasn't for long, its watch is silent.
   *
   * @param notableRevision the last one that the peer knows by which it decides otherwise than before
   */
  hearRevision (revision: number, notableRevision: number, now: number): void {
    this.newestHeard = Math.max(this.newestHeard, revision)
    this.notableHeard = Math.max(this.notableHeard, notableRevision)
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
        revision = undefined
        failures += 1
        const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures)
        await sleepFor(pauseMs * (0.5 + this.parts.random()), signal)
      }
    }
  }

  /** Reads everything under a prefix; what isn't there any more is gone. Returns the revision from which to watch. */
  private async readAll (prefix: string, signal: AbortSignal): Promise<number> {
    const { store, codec, fleet, log } = this.parts
    const items: StoreItem[] = []
    let first: number | undefined
    let isCutOff = false
    for (;;) {
      const page = await store.list(prefix, items.at(-1)?.key ?? '', signal)
      first ??= page.revision
      items.push(...page.items)
      isCutOff = page.isTruncated && items.at(-1)?.key.startsWith(codec.productPrefix) === true
      if (!page.isTruncated || isCutOff) break
      // Asked again after the same key, the store would give the same page for ever.
      if (page.items.length === 0) throw new Error('a page of the store says that more follow, and none of its items can be read')
    }
    const { keys, isLapse } = this.updater.applyRead(prefix, items.map((item) => ({ kind: 'written', item })))
    fleet.isComplete = true
    fleet.storeRevision = Math.max(fleet.storeRevision, first)
    log.record('read from the store', { prefix, revision: first, keys, isLapse })
    // Pages of the account alone don't bring the operators' parts in: hosts that restart have no time to load them.
    if (isCutOff) this.parts.handleUnreadKeys()
    return first
  }

  private async watchOnce (prefix: string, revision: number, signal: AbortSignal): Promise<number | undefined> {
    const isOnWord = this.parts.hasReliableWatchers()
    if (isOnWord) await this.waitForWord(signal)
    const result = await this.waitForChanges(prefix, revision, signal)
    if (result === undefined) return revision
    if (result.kind === 'history-gone') {
      this.parts.log.report('history of the store gone', { prefix, revision })
      return undefined
    }
    this.updater.applyEvents(result.events)
    this.parts.fleet.storeRevision = Math.max(this.parts.fleet.storeRevision, result.revision)
    // A host that asks on others' word pauses after each answer: a wrong word of a revision to come would else make it ask without end.
    if (result.events.length > 0 || isOnWord) await sleepFor(BATCH_MS, signal)
    return result.revision
  }

  /**
   * Waits until a watcher of the region knows of a change that decides something, or none can be relied on any more.
   *
   * Answers fleets whose every host watches: each heartbeat of a cold target answers every watch, and each answer is a call
   * that the platform counts; with 70 hosts and 139 targets that was two calls for every three requests a host forwarded.
   */
  private async waitForWord (signal: AbortSignal): Promise<void> {
    const { fleet, getNow, hasReliableWatchers } = this.parts
    const startedAt = getNow()
    const hasWord = (): boolean => this.hasToCatchUp || this.notableHeard > fleet.storeRevision
    this.isRelying = true
    while (!signal.aborted && !hasWord() && hasReliableWatchers() && getNow() - startedAt < LONGEST_UNASKED_MS) await sleepFor(CHECK_MS, signal)
    this.isRelying = false
    this.hasToCatchUp = true
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
