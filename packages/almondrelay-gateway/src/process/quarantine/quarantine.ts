import type { TargetState } from '../../request/targetState.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { RequestFingerprint } from './requestFingerprint.js'
import type { Suspect } from './suspect.js'
import type { SuspectExchange } from './suspectExchange.js'
import { SuspectTable } from './suspectTable.js'
import type { SuspectName } from './suspectName.js'
import type { SuspectRecord } from './suspectRecord.js'
import type { SuspectStore } from './suspectStore.js'
import type { SuspectState } from './suspectState.js'
import { TargetEndTracker } from './targetEndTracker.js'

/** Ends under one request from which on its record is written: a single one is mere company of another request nearly always. */
const ENDS_TO_SAVE = 2
/** Milliseconds for which a host leaves it to those that saw the ends to write the record of a quarantined request. */
const KEEP_AFTER_MS = 2_000
/** Milliseconds before a host asks again for a trial that it didn't get. */
const CLAIM_PAUSE_MS = 2_000
/** Bounds, in milliseconds, of the time after which a refused caller is told to come back. */
const SHORTEST_RETRY_MS = 1_000
const LONGEST_RETRY_MS = 60_000

interface QuarantineParts {
  exchange: Pick<SuspectExchange, 'announce'>
  store: Pick<SuspectStore, 'save' | 'keep' | 'claimTrial'>
  log: EventLog
  metrics: GatewayMetrics
  random: () => number
}

/**
 * Holds back requests that end the targets that run them.
 *
 * Answers one request that comes again and again, at any host: each time it ends the targets that run it, and with them every
 * request that they had. What hosts see of it is told to all of them at once and kept in the store.
 */
export class Quarantine {
  private readonly suspects = new SuspectTable()
  private readonly targetEnds = new TargetEndTracker((target, name, now) => { this.recordEnd(target, name, now) })

  constructor (private readonly parts: QuarantineParts) {}

  isQuarantined (name: RequestFingerprint): boolean {
    return this.suspects.match(name)?.isQuarantined === true
  }

  computeRetryAfter (name: RequestFingerprint, now: number): number {
    const leftMs = (this.suspects.match(name)?.trialAt ?? now) - now
    return Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, leftMs)) * (1 + this.parts.random() / 2)
  }

  /** Asks for a trial of a quarantined request where its pause is over; true for at most one host after each pause. */
  async claimTrial (name: RequestFingerprint, now: number): Promise<boolean> {
    const suspect = this.suspects.match(name)
    if (suspect === undefined || !suspect.isQuarantined) return false
    suspect.touchedAt = now
    if (now - suspect.quarantinedAt >= KEEP_AFTER_MS) this.parts.store.keep(suspect)
    if (now < suspect.trialAt) return false
    suspect.trialAt = now + CLAIM_PAUSE_MS
    const isGranted = await this.parts.store.claimTrial(suspect)
    if (isGranted) this.report('trial of a quarantined request', suspect)
    return isGranted
  }

  /** A request that was written to a target has no whole answer and will get none. */
  observeUnanswered (target: TargetState, name: SuspectName, now: number): void {
    this.targetEnds.observeUnanswered(target, name, now)
  }

  /** The process of a target has ended. */
  observeTargetEnd (target: TargetState, now: number): void {
    this.targetEnds.observeEnd(target, now)
  }

  /**
   * A request was answered whole: it isn't what ended the targets that ended under it.
   *
   * @param unansweredBy targets that lost it before, whose ends may not have been seen yet
   */
  observeAnswer (name: RequestFingerprint, unansweredBy: readonly TargetState[], now: number): void {
    for (const target of unansweredBy) this.targetEnds.dropUnanswered(target, name.text)
    const suspect = this.suspects.match(name)
    if (suspect !== undefined) this.clear(suspect, now)
  }

  /** Ends the quarantine of a request by hand; false where it isn't known. */
  release (fingerprint: string, now: number): boolean {
    const suspect = this.suspects.find(fingerprint)
    if (suspect !== undefined) this.clear(suspect, now)
    return suspect !== undefined
  }

  /** Takes in what another host tells; false where nothing of it is new. */
  hear (word: SuspectState, now: number): boolean {
    return this.update(word, now, (suspect) => suspect.merge(word, now))
  }

  /** Takes in a record of the store. */
  adoptRecord (record: SuspectRecord, revision: number, now: number): void {
    this.update(record, now, (suspect) => suspect.adoptRecord(record, revision, now))
  }

  /** The record of a request has lapsed; what is known here stands. */
  dropRecord (fingerprint: string): void {
    const suspect = this.suspects.find(fingerprint)
    if (suspect !== undefined) suspect.recordRevision = undefined
  }

  /** Requests under which targets ended, without a whole answer since. */
  list (): Suspect[] {
    return this.suspects.list().filter((suspect) => suspect.countEnds() > 0)
  }

  private recordEnd (target: TargetState, name: SuspectName, now: number): void {
    const isNew = this.update(name, now, (suspect) => suspect.merge({ ended: [target.incarnationHash], cleared: [] }, now))
    const suspect = this.suspects.find(name.fingerprint)
    if (!isNew || suspect === undefined) return
    this.parts.log.record('target ended under a request', { ...name, target: target.entry.id, ends: suspect.countEnds() })
    this.parts.exchange.announce(suspect)
    if (suspect.countEnds() >= ENDS_TO_SAVE) this.parts.store.save(suspect)
  }

  private clear (suspect: Suspect, now: number): void {
    if (suspect.countEnds() === 0) return
    this.update(suspect, now, () => { suspect.clear(now); return true })
    this.parts.exchange.announce(suspect)
    if (suspect.recordRevision !== undefined) this.parts.store.save(suspect)
  }

  private update ({ fingerprint, organisation }: SuspectName, now: number, change: (suspect: Suspect) => boolean): boolean {
    const suspect = this.suspects.touch(fingerprint, organisation, now)
    const wasQuarantined = suspect.isQuarantined
    const isNew = change(suspect)
    if (!wasQuarantined && suspect.isQuarantined) this.report('request quarantined', suspect)
    if (wasQuarantined && !suspect.isQuarantined) this.report('quarantine lifted', suspect)
    return isNew
  }

  private report (event: string, suspect: Suspect): void {
    this.parts.metrics.countQuarantine(event)
    this.parts.log.report(event, { ...suspect.describe(), trials: suspect.trials })
  }
}
