import type { TargetState } from '../../request/targetState.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { RequestFingerprint } from './requestFingerprint.js'
import type { Suspect } from './suspect.js'
import type { SuspectExchange } from './suspectExchange.js'
import { SuspectTable } from './suspectTable.js'
import type { SuspectId } from './suspectId.js'
import type { SuspectRecord } from './suspectRecord.js'
import type { StorePosition } from '../store/storePosition.js'
import type { SuspectStore } from './suspectStore.js'
import type { SuspectState } from './suspectState.js'
import { TargetExitTracker } from './targetExitTracker.js'

/** Number of target exits from which on a suspect's record is written: with a single one, another request nearly always caused the exit. */
const MIN_EXITS_TO_SAVE = 2
/** Milliseconds after the quarantine of a request for which a host leaves writing its record to the hosts that observed the exits. */
const RENEWAL_DELAY_MS = 2_000
/** Milliseconds before a host claims again a trial that it was not granted. */
const CLAIM_INTERVAL_MS = 2_000
/** Bounds of the Retry-After of a quarantined request in milliseconds, before jitter. */
const MIN_RETRY_AFTER_MS = 1_000
const MAX_RETRY_AFTER_MS = 60_000

interface QuarantineParts {
  exchange: Pick<SuspectExchange, 'announce'>
  store: Pick<SuspectStore, 'save' | 'keep' | 'claimTrial' | 'restore'>
  log: EventLog
  metrics: GatewayMetrics
  random: () => number
}

/**
 * Holds back requests that make the targets running them exit.
 *
 * Without it, such a request that arrives again and again, at any host, each time ends the targets that run it, and with them every
 * other request that they were running. What a host observes of a suspect is announced to all hosts at once and kept in the store.
 */
export class Quarantine {
  private readonly suspects = new SuspectTable()
  private readonly exitTracker = new TargetExitTracker((target, suspectId, now) => { this.recordExit(target, suspectId, now) })

  constructor (private readonly parts: QuarantineParts) {}

  isQuarantined (fingerprint: RequestFingerprint): boolean {
    return this.suspects.match(fingerprint)?.isQuarantined === true
  }

  /** Whether the request with this fingerprint is quarantined. */
  isHeldBack (fingerprint: string): boolean {
    return this.suspects.find(fingerprint)?.isQuarantined === true
  }

  computeRetryAfter (fingerprint: RequestFingerprint, now: number): number {
    const leftMs = (this.suspects.match(fingerprint)?.trialAt ?? now) - now
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, leftMs)) * (1 + this.parts.random() / 2)
  }

  /** Claims a trial of a quarantined request if the trial delay is over. Returns true on at most one host after each delay. */
  async claimTrial (fingerprint: RequestFingerprint, now: number): Promise<boolean> {
    const suspect = this.suspects.match(fingerprint)
    if (suspect === undefined || !suspect.isQuarantined) return false
    suspect.touchedAt = now
    if (now - suspect.quarantinedAt >= RENEWAL_DELAY_MS) this.parts.store.keep(suspect)
    if (now < suspect.trialAt) return false
    suspect.trialAt = now + CLAIM_INTERVAL_MS
    const isGranted = await this.parts.store.claimTrial(suspect)
    if (isGranted) this.report('trial of a quarantined request', suspect)
    return isGranted
  }

  /** Records a request that was written to a target and that will get no whole answer from it. */
  observeUnanswered (target: TargetState, suspectId: SuspectId, now: number): void {
    this.exitTracker.observeUnanswered(target, suspectId, now)
  }

  /** Records the exit of a target's process. */
  observeTargetExit (target: TargetState, now: number): void {
    this.exitTracker.observeExit(target, now)
  }

  /**
   * Records a whole answer to a request: the request did not cause the target exits recorded for it.
   *
   * @param unansweredBy targets that left the request unanswered before, and whose exits may not have been observed yet
   */
  observeAnswer (fingerprint: RequestFingerprint, unansweredBy: readonly TargetState[], now: number): void {
    for (const target of unansweredBy) this.exitTracker.dropUnanswered(target, fingerprint.text)
    const suspect = this.suspects.match(fingerprint)
    if (suspect !== undefined) this.clear(suspect, now)
  }

  /** Ends the quarantine of a request for an operator. Returns false if the request is unknown. */
  release (fingerprint: string, now: number): boolean {
    const suspect = this.suspects.find(fingerprint)
    if (suspect !== undefined) this.clear(suspect, now)
    return suspect !== undefined
  }

  /** Merges the state that another host sent. Returns false if nothing in it is new. */
  receiveState (state: SuspectState, now: number): boolean {
    return this.update(state, now, (suspect) => suspect.merge(state, now))
  }

  /** Merges a record of the store. */
  adoptRecord (record: SuspectRecord, position: StorePosition, now: number): void {
    this.update(record, now, (suspect) => suspect.adoptRecord(record, position, now))
  }

  /** Handles the lapse of a request's record in the store; the state in this host's memory is kept. */
  dropRecord (fingerprint: string): void {
    const suspect = this.suspects.find(fingerprint)
    if (suspect !== undefined) suspect.recordPosition = undefined
  }

  /** Writes again what the store has lost by its return from a copy: records, trials that were granted, and quarantines that ended. */
  handleStoreReturn (): void {
    void this.parts.store.restore(() => this.suspects.list().filter((suspect) => suspect.countExits() >= MIN_EXITS_TO_SAVE || suspect.recordPosition !== undefined))
  }

  /** Lists the requests that were running when targets exited, without a whole answer since. */
  list (): Suspect[] {
    return this.suspects.list().filter((suspect) => suspect.countExits() > 0)
  }

  private recordExit (target: TargetState, suspectId: SuspectId, now: number): void {
    const isNew = this.update(suspectId, now, (suspect) => suspect.merge({ ended: [target.incarnationHash], cleared: [] }, now))
    const suspect = this.suspects.find(suspectId.fingerprint)
    if (!isNew || suspect === undefined) return
    this.parts.log.record('target exited while running a request', { ...suspectId, target: target.entry.id, ends: suspect.countExits() })
    this.parts.exchange.announce(suspect)
    if (suspect.countExits() >= MIN_EXITS_TO_SAVE) this.parts.store.save(suspect)
  }

  private clear (suspect: Suspect, now: number): void {
    if (suspect.countExits() === 0) return
    this.update(suspect, now, () => { suspect.clear(now); return true })
    this.parts.exchange.announce(suspect)
    if (suspect.recordPosition !== undefined) this.parts.store.save(suspect)
  }

  private update ({ fingerprint, organisation }: SuspectId, now: number, change: (suspect: Suspect) => boolean): boolean {
    const suspect = this.suspects.touch(fingerprint, organisation, now)
    const wasQuarantined = suspect.isQuarantined
    const isNew = change(suspect)
    if (!wasQuarantined && suspect.isQuarantined) this.report('request quarantined', suspect)
    if (wasQuarantined && !suspect.isQuarantined) this.report('quarantine lifted', suspect)
    return isNew
  }

  private report (event: string, suspect: Suspect): void {
    this.parts.metrics.countQuarantineEvent(event)
    this.parts.log.report(event, { ...suspect.describe(), trials: suspect.trials })
  }
}
