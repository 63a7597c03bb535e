import { computeRetryDelay } from '../../request/computeRetryDelay.js'
import { AnswerTransfer } from '../store/answerTransfer.js'
import { CATCH_UP_MS } from '../store/catchUpMs.js'
import { comparePositions } from '../store/comparePositions.js'
import { findLaterPosition } from '../store/findLaterPosition.js'
import { getEventRevision } from '../store/getEventRevision.js'
import { PageAge } from '../store/pageAge.js'
import { startPosition } from '../store/startPosition.js'
import type { StorePosition } from '../store/storePosition.js'
import type { WatchResult } from '../store/watchResult.js'
import { ChangeRelay } from './changeRelay.js'
import { computeMaxChangesBytes } from './computeMaxChangesBytes.js'
import { MAX_STATE_AGE_SHARE } from './maxStateAgeShare.js'
import type { FollowerParts } from './followerParts.js'
import { readPages } from './readPages.js'
import { readPrefix } from './readPrefix.js'
import type { RelayedChanges } from './relayedChanges.js'
import { FleetUpdater } from './fleetUpdater.js'

/**
 * Timeout of a watch call of the hosts that watch the store for their region, in milliseconds. An empty answer confirms that no
 * change was missed, so this bounds the age of the region's state.
 */
const WATCH_TIMEOUT_MS = 2_000
/** The same for a watcher that other hosts rely on: their state is at least as old as its own. */
const RELIED_WATCH_TIMEOUT_MS = 1_000
/**
 * Milliseconds within which a change must be relayed after a peer has reported its revision: reports of peers that have the change
 * already may overtake its datagram. After that the datagram counts as lost, and the store is queried.
 */
const RELAY_TIMEOUT_MS = 300
/**
 * Timeout of a watch call of hosts that are not watchers, in milliseconds. They too get changes at once, and learn from peers' reports
 * if their watch has stalled.
 */
const LONG_WATCH_TIMEOUT_MS = 15_000
/**
 * Milliseconds for which peers may report newer revisions before the watch counts as stalled: covers the pause after changes and the
 * interval between peers' reports.
 */
const STALLED_WATCH_TIMEOUT_MS = 1_000
/**
 * Pause after changes, in milliseconds: entries change in groups, such as when targets start or during a release, and each
 * answer of a watch is a call that the platform counts.
 */
const BATCH_DELAY_MS = 500
/** Milliseconds for which stale pages may be from before the store returned from a copy: they are seconds old. */
const MAX_STALE_PAGE_AGE_MS = 15_000
const RETURN_REASON = 'the store has returned from a copy'
/** Milliseconds between checks for lapsed entries, for a change of watchers and for relayed changes that are overdue. */
const CHECK_INTERVAL_MS = 200
/** Delay after a failed call, doubled up to the maximum, with jitter so that hosts don't reconnect all at once. */
const RETRY_DELAY = { firstMs: 200, longestMs: 500 }
/**
 * The same for hosts of large regions that rely on watchers: they query the store themselves only because the watchers do not reach
 * it either. The pause ends with the watchers' first report after the store has recovered, with the first answer to any other call of this
 * host, or if a peer reports a change that this host lacks.
 */
const RELYING_RETRY_DELAY = { firstMs: 1_000, longestMs: 8_000 }

/**
 * Milliseconds per host of the fleet over which the hosts spread their full reads after the store has returned from a copy, and their
 * maximum. All hosts learn of the return within moments, and each makes a few calls.
 */
const REREAD_SPREAD_PER_HOST_MS = 2
const MAX_REREAD_SPREAD_MS = 1_000

/**
 * Keeps the fleet's state up to date with the store. In a large region a few hosts, its watchers, watch the store and relay notable
 * changes, those after which hosts decide differently; the other hosts rely on them as long as they report a recent state.
 */
export class FleetFollower {
  private readonly updater: FleetUpdater
  private readonly relay: ChangeRelay
  /** Aborts the pending watch call; undefined while none is pending. */
  private pendingWatch: AbortController | undefined
  private transfer = new AnswerTransfer()
  /** Length of the last full read in bytes. */
  private fullReadBytes = 0
  private isLongWatch = false
  private hasToCatchUp = false
  private reportedPosition = startPosition
  private reportedNotablePosition = startPosition
  /** No call for changes is pending, and changes relayed by the watchers are applied. */
  private isRelyingOnWatchers = false
  private behindSince: number | undefined
  /** Position up to which the state is complete by relayed changes and watchers' reports. */
  private relayedPosition = startPosition
  /** Since when a peer has reported a notable change that this host has not received. */
  private missingChangeSince: number | undefined

  /** When this host reads all keys again, because the store has returned from a copy; Infinity if it need not. */
  private rereadAt = Infinity
  /** When this host learnt of the last return of the store from a copy. */
  private returnedAt = -Infinity

  constructor (private readonly parts: FollowerParts) {
    this.updater = new FleetUpdater(parts)
    this.relay = new ChangeRelay(parts)
  }

  async run (signal: AbortSignal): Promise<void> {
    const { health } = this.parts
    health.handleRecovery = () => { this.refreshUnlessArriving('the store answers again') }
    health.handleFailure = () => { if (!this.isAnswerArriving()) this.restartWatch('a call to the store failed') }
    await Promise.all([...this.parts.codec.prefixes.map((prefix) => this.followPrefix(prefix, signal)), this.runChecks(signal)])
  }

  /**
   * Makes this host read all keys again, as the store has returned from a copy: changes that it had acknowledged may be gone from it.
   * The watchers read at once, because the other hosts of the region rely on them.
   */
  handleStoreReturn (): void {
    const { fleet, health, isWatcher, getNow, random } = this.parts
    const spreadMs = isWatcher() ? 0 : Math.min(MAX_REREAD_SPREAD_MS, fleet.listHosts().length * REREAD_SPREAD_PER_HOST_MS)
    this.returnedAt = getNow()
    this.relay.clear()
    health.observeReturn(this.returnedAt)
    this.rereadAt = this.returnedAt + spreadMs * random()
    if (spreadMs === 0) this.refresh(RETURN_REASON)
  }

  /**
   * Records the position up to which a peer knows all changes. If this host's state has been behind it for too long, its watch has
   * stalled and is restarted. A host that relies on watchers has no watch: it may lack changes that are not notable, and querying the
   * store for them cost a call per second and host.
   *
   * @param notablePosition position of the last notable change that the peer knows
   */
  receivePeerPosition (position: StorePosition, notablePosition: StorePosition, now: number): void {
    this.reportedPosition = findLaterPosition(this.reportedPosition, position)
    this.reportedNotablePosition = findLaterPosition(this.reportedNotablePosition, notablePosition)
    if (this.isRelyingOnWatchers || comparePositions(this.parts.fleet.storePosition, this.reportedPosition) >= 0) {
      this.behindSince = undefined
      return
    }
    this.behindSince ??= now
    if (now - this.behindSince < STALLED_WATCH_TIMEOUT_MS) return
    this.behindSince = now
    this.refreshUnlessArriving('a peer reports newer changes')
  }

  /**
   * Records the state that a watcher of this region reports. If this host has all notable changes that the watcher knows, its state
   * is as current as the watcher's.
   *
   * @param ageMs milliseconds since the store confirmed the watcher's state
   */
  receiveWatcherState (position: StorePosition, notablePosition: StorePosition, ageMs: number, now: number): void {
    const { fleet } = this.parts
    if (!this.isRelyingOnWatchers || !fleet.isCompleteUpTo(notablePosition)) return
    fleet.storePosition = findLaterPosition(fleet.storePosition, position)
    this.relayedPosition = fleet.storePosition
    fleet.confirmedAt = Math.max(fleet.confirmedAt ?? -Infinity, now - ageMs)
  }

  /**
   * Applies changes that a watcher of this region relays. They are ignored while a call of this host's own is pending, as its
   * answer may be older and would undo them. They are also ignored if `after` shows that earlier changes were lost:
   * the reported position then stays ahead of the state, and the store is queried for all of them. The same if a difference is from a value
   * that this host does not have.
   */
  applyRelayedChanges ({ after, upTo, events }: RelayedChanges): void {
    const { fleet, log } = this.parts
    const known = fleet.storePosition
    const canApply = this.isRelyingOnWatchers && fleet.isCompleteUpTo(after) && comparePositions(upTo, known) > 0
    const decoded = canApply ? this.relay.decode(events.filter((event) => getEventRevision(event) > known.revision)) : undefined
    this.parts.handleRelayedChanges(decoded !== undefined)
    if (decoded === undefined) {
      log.record('relayed changes ignored', { after, upTo, position: known, isRelyingOnWatchers: this.isRelyingOnWatchers, lacksBase: canApply })
      return
    }
    this.updater.applyEvents(decoded, upTo.era)
    this.relay.recordEvents(decoded)
    fleet.storePosition = upTo
    this.relayedPosition = upTo
  }

  /** Restarts the watch on another connection and requests at once the changes that were missed. */
  refresh (reason: string): void {
    if (this.pendingWatch === undefined && !this.isRelyingOnWatchers) return
    this.hasToCatchUp = true
    this.restartWatch(reason)
  }

  /** The same, unless the changes are arriving already: a large answer would be requested from its beginning again and again. */
  private refreshUnlessArriving (reason: string): void {
    if (!this.isAnswerArriving()) this.refresh(reason)
  }

  private isAnswerArriving (): boolean {
    return this.pendingWatch !== undefined && this.transfer.hasBegun
  }

  // A watch that was pending when this host was cut off from the store gets no answer after the cut either, and one that is restarted in
  // the cut is restarted until the store answers.
  private restartWatch (reason: string): void {
    if (this.pendingWatch === undefined) return
    this.hasToCatchUp = true
    this.parts.log.record('store watch restarted', { reason, position: this.parts.fleet.storePosition, receivedBytes: this.transfer.receivedBytes })
    this.pendingWatch.abort()
  }

  private async followPrefix (prefix: string, signal: AbortSignal): Promise<void> {
    let failures = 0
    let position: StorePosition | undefined
    while (!signal.aborted) {
      try {
        await this.waitForRereadTurn(signal)
        position = position?.era !== this.parts.store.era.current || this.isRereadDue() ? await this.readAll(prefix, signal) : await this.watchOnce(prefix, position, signal)
        failures = 0
      } catch (error) {
        if (signal.aborted) return
        this.parts.log.logError('read or watch of the store failed', error as Error)
        failures += 1
        const failedAt = this.parts.getNow()
        await this.waitAfterFailure(failures, signal)
        this.parts.log.record('store is called again', { failures, pauseMs: Math.round(this.parts.getNow() - failedAt), position: this.parts.fleet.storePosition })
      }
    }
  }

  private async waitAfterFailure (failures: number, signal: AbortSignal): Promise<void> {
    const { fleet, health, getNow, random, isReliedOn, isWatcher, hasReliableWatchers } = this.parts
    const { isAnswering: wasAnswering } = health
    if (!fleet.isComplete || !isReliedOn() || isWatcher()) {
      await this.parts.sleep(computeRetryDelay(RETRY_DELAY, failures, random()), signal)
      return
    }
    const retryAt = getNow() + computeRetryDelay(RELYING_RETRY_DELAY, failures, random())
    await this.parts.sleep(RETRY_DELAY.longestMs, signal)
    const hasReason = (): boolean => hasReliableWatchers() || (health.isAnswering && !wasAnswering) || this.isChangeOverdue(getNow())
    while (!signal.aborted && !hasReason() && getNow() < retryAt) await this.parts.sleep(CHECK_INTERVAL_MS, signal)
  }

  /**
   * Reads all keys under a prefix and removes whatever is missing from them. Returns the position from which to watch; undefined if the
   * pages were too old.
   */
  private async readAll (prefix: string, signal: AbortSignal): Promise<StorePosition | undefined> {
    const { fleet, log } = this.parts
    const known = fleet.storePosition
    const age = this.parts.getNow() - this.returnedAt <= MAX_STALE_PAGE_AGE_MS ? PageAge.current : PageAge.stale
    const read = await readPrefix(this.parts.store, this.parts.codec, prefix, age, signal)
    this.rereadAt = Infinity
    this.fullReadBytes = read.bytes
    const { latestHostEra, notable, ...result } = this.updater.applyFullRead(prefix, read.items.map((item) => ({ kind: 'written', item })), read.position)
    this.updater.applyEvents(read.events, read.position.era)
    this.relay.recordItems(read.items)
    this.relay.recordEvents(read.events)
    fleet.isComplete = true
    fleet.confirmedAt = this.parts.getNow()
    fleet.storePosition = findLaterPosition(fleet.storePosition, read.position)
    // Deletions that the store's history no longer holds can't be relayed: the later position makes the other hosts query the store.
    fleet.notablePosition = findLaterPosition(fleet.notablePosition, read.position)
    log.record('full read of the store applied', { prefix, position: read.position, known, notable: notable.length, ...result })
    // Account pages alone do not load the operator service: a restarting host has no time for it.
    if (read.hasOmittedKeys) this.parts.handleOmittedKeys()
    return age === PageAge.current || this.checkStalePages(read.position.era, latestHostEra) ? read.position : undefined
  }

  /**
   * Returns whether stale pages can be used. A host that has just started can't know that the store returned from a copy a moment ago, and
   * that the pages are from before. An entry of a host of the present era proves that they are not; if there are only entries of earlier
   * eras, they may be, and without any entry the pages are read again once they can't be.
   */
  private checkStalePages (era: number, latestHostEra: number | undefined): boolean {
    const { store, getNow, random } = this.parts
    if (!store.era.isKnown || latestHostEra === era) return true
    if (latestHostEra === undefined) {
      // Spread: without any entry, all hosts have probably started together.
      this.rereadAt = getNow() + MAX_STALE_PAGE_AGE_MS * (1 + random())
      return true
    }
    this.returnedAt = getNow()
    return false
  }

  /** Returns undefined if all keys have to be read again. */
  private async watchOnce (prefix: string, position: StorePosition, signal: AbortSignal): Promise<StorePosition | undefined> {
    const { fleet, log, store } = this.parts
    const reliesOnWatchers = this.parts.hasReliableWatchers()
    if (reliesOnWatchers) await this.waitForRelayedChanges(signal)
    const known = findLaterPosition(position, this.relayedPosition)
    if (known.era !== store.era.current) return undefined
    const result = await this.waitForChanges(prefix, known, signal)
    if (result === undefined) return known
    if (result.kind === 'history-gone') {
      log.report('history of the store no longer available, reading all keys again', { prefix, position: known, era: store.era.current })
      return undefined
    }
    if (result.kind === 'too-long') return await this.readLatest(prefix, signal)
    const notableBefore = fleet.notablePosition
    fleet.confirmedAt = this.parts.getNow()
    const notable = this.updater.applyEvents(result.events, result.position.era)
    fleet.storePosition = findLaterPosition(fleet.storePosition, result.position)
    this.relay.relay(notableBefore, result.position, notable)
    this.relay.recordEvents(result.events)
    // A host that relies on watchers always pauses: otherwise a false report of a future revision would make it query in a tight loop.
    if (result.events.length > 0 || reliesOnWatchers) await this.waitAfterChanges(signal)
    return result.position
  }

  /**
   * Reads the last value of each key, because the changes since the last position are longer than that, and relays what is notable among
   * them. Returns the position from which to watch.
   */
  private async readLatest (prefix: string, signal: AbortSignal): Promise<StorePosition> {
    const { fleet, log, store, codec, getNow } = this.parts
    const { items, position, bytes } = await readPages(store, codec, prefix, PageAge.current, signal)
    const before = { known: fleet.storePosition, notable: fleet.notablePosition }
    this.fullReadBytes = bytes
    const { notable, keys } = this.updater.applyFullRead(prefix, items.map((item) => ({ kind: 'written', item })), position)
    fleet.confirmedAt = getNow()
    fleet.storePosition = findLaterPosition(fleet.storePosition, position)
    fleet.notablePosition = findLaterPosition(fleet.notablePosition, position)
    log.record('changes of the store are too long, last values applied', { prefix, position, known: before.known, keys, notable: notable.length, bytes: Math.round(bytes) })
    // An item that was written between two pages is left out: the notable position makes the other hosts query the store for it.
    const complete = notable.filter((event) => getEventRevision(event) <= position.revision)
    if (before.notable.era === position.era) this.relay.relay(before.notable, position, complete)
    this.relay.recordItems(items)
    await this.waitAfterChanges(signal)
    return position
  }

  /** Lets changes gather before the next call. What watchers relay meanwhile is applied, as no answer that may be older is pending. */
  private async waitAfterChanges (signal: AbortSignal): Promise<void> {
    this.isRelyingOnWatchers = this.parts.hasReliableWatchers()
    await this.parts.sleep(BATCH_DELAY_MS, signal)
    this.isRelyingOnWatchers = false
  }

  /**
   * Waits while the watchers of the region relay changes: until a change that they report is overdue, none of them is reliable
   * any more, or they have not confirmed the state for too long.
   *
   * If every host watched or queried the store, each change would be a call of every host, and the platform counts calls.
   */
  private async waitForRelayedChanges (signal: AbortSignal): Promise<void> {
    const { fleet, log, boundMs, getNow, hasReliableWatchers } = this.parts
    const startedAt = getNow()
    log.record('changes of the store are taken from watchers', { position: fleet.storePosition })
    const isConfirmed = (): boolean => getNow() - Math.max(startedAt, fleet.confirmedAt ?? -Infinity) < boundMs * MAX_STATE_AGE_SHARE
    this.isRelyingOnWatchers = true
    while (!signal.aborted && !this.hasToCatchUp && !this.isChangeOverdue(getNow()) && hasReliableWatchers() && isConfirmed()) await this.parts.sleep(CHECK_INTERVAL_MS, signal)
    this.isRelyingOnWatchers = false
    this.hasToCatchUp = true
    log.record('changes of the store are requested', { position: fleet.storePosition, notablePosition: this.reportedNotablePosition, ageMs: Math.round(getNow() - (fleet.confirmedAt ?? -Infinity)), hasReliableWatchers: hasReliableWatchers() })
  }

  /** Whether a notable change has been reported for too long without being received. */
  private isChangeOverdue (now: number): boolean {
    if (comparePositions(this.reportedNotablePosition, this.parts.fleet.storePosition) <= 0) {
      this.missingChangeSince = undefined
      return false
    }
    this.missingChangeSince ??= now
    return now - this.missingChangeSince >= RELAY_TIMEOUT_MS
  }

  /** Returns undefined if the watch was interrupted by a refresh. */
  private async waitForChanges (prefix: string, after: StorePosition, signal: AbortSignal): Promise<WatchResult | undefined> {
    const watchController = new AbortController()
    const handleAbort = (): void => { watchController.abort() }
    signal.addEventListener('abort', handleAbort)
    this.pendingWatch = watchController
    this.transfer = new AnswerTransfer(computeMaxChangesBytes(this.fullReadBytes))
    this.isLongWatch = !this.hasToCatchUp && !this.parts.isWatcher()
    const waitMs = this.chooseWatchTimeout()
    this.hasToCatchUp = false
    try {
      return await this.parts.store.watch(prefix, after, waitMs, watchController.signal, this.transfer)
    } catch (error) {
      if (watchController.signal.aborted && !signal.aborted) return undefined
      throw error
    } finally {
      signal.removeEventListener('abort', handleAbort)
      this.pendingWatch = undefined
      this.isLongWatch = false
    }
  }

  private chooseWatchTimeout (): number {
    if (this.hasToCatchUp) return CATCH_UP_MS
    if (this.isLongWatch) return LONG_WATCH_TIMEOUT_MS
    return this.parts.isReliedOn() ? RELIED_WATCH_TIMEOUT_MS : WATCH_TIMEOUT_MS
  }

  private async waitForRereadTurn (signal: AbortSignal): Promise<void> {
    const { fleet, store, getNow } = this.parts
    const waitMs = this.rereadAt - getNow()
    if (fleet.storePosition.era !== store.era.current && waitMs > 0 && waitMs < Infinity) await this.parts.sleep(waitMs, signal)
  }

  private isRereadDue (): boolean {
    return this.parts.fleet.isComplete && this.parts.getNow() >= this.rereadAt
  }

  private async runChecks (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.sleep(CHECK_INTERVAL_MS, signal)
      this.updater.expireLapsed()
      if (this.isRereadDue()) this.refresh(RETURN_REASON)
      if (this.isLongWatch && this.parts.isWatcher()) this.refreshUnlessArriving('this host is now a watcher of its region')
    }
  }
}
