import { computeHash } from '../../version/computeHash.js'
import { comparePositions } from '../store/comparePositions.js'
import type { StorePosition } from '../store/storePosition.js'
import type { SuspectRecord } from './suspectRecord.js'
import type { SuspectState } from './suspectState.js'

/** Number of target exits while running a request, without a whole answer since, from which on the request is quarantined. */
const MIN_EXITS_TO_QUARANTINE = 3
/** Maximum number of target incarnations that are kept for one request. */
const MAX_INCARNATIONS = 24
/**
 * Minimum milliseconds from the quarantine, or from the last trial, to the next trial, by the number of trials so far. The first trials
 * come soon: a request that many callers send may have been running at three targets that exited for another reason, and its answer
 * ends the quarantine.
 */
const TRIAL_DELAYS_MS = [2_000, 15_000, 600_000]
/** The same for every further trial. */
const FINAL_TRIAL_DELAY_MS = 3_600_000
/** Maximum extension of a delay, as a share of it: requests that were quarantined together would otherwise be tried together. */
const MAX_TRIAL_DELAY_JITTER = 0.5
const HASH_RANGE = 2 ** 32

/** A request that was running when targets exited, as one host knows it. */
export class Suspect {
  trials = 0
  /** Monotonic milliseconds at which this host began to hold the request back; Infinity while it is not quarantined. */
  quarantinedAt = Infinity
  /** Monotonic milliseconds from which on this host may claim a trial. */
  trialAt = Infinity
  /** Monotonic milliseconds of the last report of the request or call for it. */
  touchedAt = 0
  /** Position of the suspect's record in the store; undefined while none is known. */
  recordPosition: StorePosition | undefined
  /** Monotonic milliseconds at which this host learnt that the record was written. */
  recordedAt = -Infinity
  /** Position of the fingerprint's hash in [0, 1), the same on all hosts; scales the extension of trial delays. */
  private readonly jitter: number
  private readonly ended = new Set<number>()
  private readonly cleared = new Set<number>()
  /** The record last adopted. */
  private record: SuspectRecord | undefined

  constructor (readonly fingerprint: string, readonly organisation: string) {
    this.jitter = computeHash(fingerprint) / HASH_RANGE
  }

  /** Returns the number of target exits that no answer has cleared since. */
  countExits (): number {
    return this.ended.size - this.cleared.size
  }

  get isQuarantined (): boolean {
    return this.countExits() >= MIN_EXITS_TO_QUARANTINE
  }

  /** Merges the state that another host knows. Returns false if nothing in it is new. */
  merge ({ ended, cleared }: Pick<SuspectState, 'ended' | 'cleared'>, now: number): boolean {
    const before = this.ended.size + this.cleared.size
    const wasQuarantined = this.isQuarantined
    for (const incarnation of [...ended, ...cleared]) this.addExit(incarnation)
    for (const incarnation of cleared) if (this.ended.has(incarnation)) this.cleared.add(incarnation)
    if (this.isQuarantined !== wasQuarantined) this.resetTrials(now)
    return this.ended.size + this.cleared.size > before
  }

  /**
   * Merges the record of the store, the only source of the number of trials. Returns false if no exit in it is new.
   *
   * The first record of a new era may be from the copy, before trials that were granted since.
   */
  adoptRecord (record: SuspectRecord, position: StorePosition, now: number): boolean {
    const known = this.recordPosition
    if (known !== undefined && comparePositions(position, known) <= 0) return false
    const mayBeRestored = known !== undefined && known.era !== position.era
    this.recordPosition = position
    this.recordedAt = now
    this.record = record
    const isNew = this.merge(record, now)
    if (record.trials !== this.trials && this.isQuarantined && !(mayBeRestored && record.trials < this.trials)) this.setTrials(record.trials, now)
    return isNew
  }

  /** Returns whether the store holds all that is known here, as of an era. */
  isStoredIn (era: number): boolean {
    return this.recordPosition?.era === era && this.record !== undefined && this.record.trials >= this.trials && this.isContainedIn(this.record)
  }

  /** Clears all known exits after a whole answer: those targets exited for another reason. */
  clear (now: number): void {
    this.merge({ ended: [], cleared: [...this.ended] }, now)
  }

  /** Whether a record contains everything that is known here. */
  isContainedIn ({ ended, cleared }: SuspectState): boolean {
    return [...this.ended].every((incarnation) => ended.includes(incarnation)) && [...this.cleared].every((incarnation) => cleared.includes(incarnation))
  }

  describe (): SuspectState {
    return { fingerprint: this.fingerprint, organisation: this.organisation, ended: [...this.ended], cleared: [...this.cleared] }
  }

  setTrials (trials: number, now: number): void {
    this.trials = trials
    this.trialAt = now + (TRIAL_DELAYS_MS[trials] ?? FINAL_TRIAL_DELAY_MS) * (1 + MAX_TRIAL_DELAY_JITTER * this.jitter)
  }

  private resetTrials (now: number): void {
    this.setTrials(0, now)
    this.quarantinedAt = this.isQuarantined ? now : Infinity
    if (!this.isQuarantined) this.trialAt = Infinity
  }

  private addExit (incarnation: number): void {
    if (this.ended.has(incarnation)) return
    if (this.ended.size >= MAX_INCARNATIONS && !this.dropCleared()) return
    this.ended.add(incarnation)
  }

  private dropCleared (): boolean {
    const [oldest] = this.cleared
    if (oldest === undefined) return false
    this.cleared.delete(oldest)
    return this.ended.delete(oldest)
  }
}
