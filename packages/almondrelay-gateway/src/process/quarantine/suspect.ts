import { computeHash } from '../../version/computeHash.js'
import type { SuspectRecord } from './suspectRecord.js'
import type { SuspectState } from './suspectState.js'

/** Ends of targets under one request, without a whole answer since, after which it is quarantined. */
const ENDS_TO_QUARANTINE = 3
/** Lives that are remembered of one request. */
const MOST_LIVES = 24
/**
 * Milliseconds from the quarantine, or from the last trial, to the next trial, at least. The first come soon: a request that many
 * callers send may have been at three targets that ended for another reason, and its answer ends the quarantine.
 */
const TRIAL_PAUSES_MS = [2_000, 15_000, 600_000]
const LONGEST_TRIAL_PAUSE_MS = 3_600_000
/** Part of a pause by which it is longer for some requests: those that were quarantined together would else be tried together. */
const PAUSE_SPREAD = 0.5
const HASH_RANGE = 2 ** 32

/** A request under which targets ended, as one host knows it. */
export class Suspect {
  trials = 0
  /** Monotonic milliseconds at which this host came to hold it back. */
  quarantinedAt = Infinity
  /** Monotonic milliseconds from which a host may ask for a trial. */
  trialAt = Infinity
  /** Monotonic milliseconds of the last news of it or call for it. */
  touchedAt = 0
  /** Revision of its record in the store; undefined while none is known. */
  recordRevision: number | undefined
  /** Monotonic milliseconds at which this host heard that the record was written. */
  recordedAt = -Infinity
  /** In [0, 1), the same at all hosts. */
  private readonly place: number
  private readonly ended = new Set<number>()
  private readonly cleared = new Set<number>()

  constructor (readonly fingerprint: string, readonly organisation: string) {
    this.place = computeHash(fingerprint) / HASH_RANGE
  }

  /** Targets that ended under it and that no answer has cleared since. */
  countEnds (): number {
    return this.ended.size - this.cleared.size
  }

  get isQuarantined (): boolean {
    return this.countEnds() >= ENDS_TO_QUARANTINE
  }

  /** Takes in what another one knows; false where nothing of it is new. */
  merge ({ ended, cleared }: Pick<SuspectState, 'ended' | 'cleared'>, now: number): boolean {
    const before = this.ended.size + this.cleared.size
    const wasQuarantined = this.isQuarantined
    for (const life of [...ended, ...cleared]) this.addEnd(life)
    for (const life of cleared) if (this.ended.has(life)) this.cleared.add(life)
    if (this.isQuarantined !== wasQuarantined) this.resetTrials(now)
    return this.ended.size + this.cleared.size > before
  }

  /** Takes in the record of the store, which alone says how many trials there were. */
  adoptRecord (record: SuspectRecord, revision: number, now: number): boolean {
    if (this.recordRevision !== undefined && revision <= this.recordRevision) return false
    this.recordRevision = revision
    this.recordedAt = now
    const isNew = this.merge(record, now)
    if (record.trials !== this.trials && this.isQuarantined) this.setTrials(record.trials, now)
    return isNew
  }

  /** A whole answer came: what ended before ended for another reason. */
  clear (now: number): void {
    this.merge({ ended: [], cleared: [...this.ended] }, now)
  }

  /** Whether a record holds all that is known here. */
  isWithin ({ ended, cleared }: SuspectState): boolean {
    return [...this.ended].every((life) => ended.includes(life)) && [...this.cleared].every((life) => cleared.includes(life))
  }

  describe (): SuspectState {
    return { fingerprint: this.fingerprint, organisation: this.organisation, ended: [...this.ended], cleared: [...this.cleared] }
  }

  setTrials (trials: number, now: number): void {
    this.trials = trials
    this.trialAt = now + (TRIAL_PAUSES_MS[trials] ?? LONGEST_TRIAL_PAUSE_MS) * (1 + PAUSE_SPREAD * this.place)
  }

  private resetTrials (now: number): void {
    this.setTrials(0, now)
    this.quarantinedAt = this.isQuarantined ? now : Infinity
    if (!this.isQuarantined) this.trialAt = Infinity
  }

  private addEnd (life: number): void {
    if (this.ended.has(life)) return
    if (this.ended.size >= MOST_LIVES && !this.dropCleared()) return
    this.ended.add(life)
  }

  private dropCleared (): boolean {
    const [oldest] = this.cleared
    if (oldest === undefined) return false
    this.cleared.delete(oldest)
    return this.ended.delete(oldest)
  }
}
