import { computeHash } from '../version/computeHash.js'
import type { LoadStatement } from './loadStatement.js'
import { StatedLoad } from './statedLoad.js'
import { STATES_SPEED_MS } from './statesSpeedMs.js'
import type { TargetEntry } from './targetEntry.js'
import { WarmKeys } from './warmKeys.js'

/** Weight of one answer in the estimate of a target's slowness: about the last ten answers count. */
const SLOWNESS_GAIN = 0.1
/** Weight of one answer in the share of failures: a target that refuses half of its requests is detected after four answers. */
const FAILURE_GAIN = 0.15
/** Half-life, in milliseconds, of the recorded slowness and failures of a target, so that a target without requests is tried again. */
const HISTORY_HALF_LIFE_MS = 2_000
/** Bounds of the ratio between a target's measured and expected time; a ratio beyond them carries no more information. */
const MAX_SLOWNESS = 20
const MIN_SLOWNESS = 0.7
/** Milliseconds for which a target isn't used after a failed connection, doubled with each further failure, and their maximum. */
const FIRST_SUSPENSION_MS = 300
const MAX_SUSPENSION_MS = 2_000
/**
 * Milliseconds after a target was cold in which it is assumed to have none of its objects cached. A quarter of the requests for
 * these objects goes there in that time, so an object that is requested once a second is worked on there before it gets all of
 * the object's requests.
 */
const WARM_UP_MS = 8_000
/** Age, in milliseconds, above which a peer's count of running requests is ignored as outdated. */
const PEER_COUNT_MAX_AGE_MS = 1_500

/**
 * State of one incarnation of a target as known to this host: its entry, its load and how it has answered. A restarted target has
 * nothing cached any more and gets a new state. Times are monotonic milliseconds.
 */
export class TargetState {
  /** Determines the target's position in the order of each key; the same for all its incarnations, so that its keys come back to it. */
  readonly hash: number
  /** Identifies this incarnation of the target in reports between hosts. */
  readonly incarnationHash: number
  /** Requests of this host that are at the target now. */
  inFlight = 0
  readonly warmKeys = new WarmKeys()
  private readonly peerCounts = new Map<string, { count: number, receivedAt: number }>()
  private slowness = 1
  private failureShare = 0
  private decayedAt = 0
  private suspendedUntil = 0
  private suspensions = 0
  private coldUntil = -Infinity
  /** Monotonic milliseconds of the last answer or new connection of the target at this host; -Infinity before the first. */
  private contactAt = -Infinity
  private departedAt: number | undefined
  private hasAnnouncedLeaving = false
  /** What this incarnation has stated about its load; undefined before it first stated its speed. */
  private stated: StatedLoad | undefined

  constructor (public entry: TargetEntry, now: number) {
    this.hash = computeHash(entry.id)
    this.incarnationHash = entry.incarnation === undefined ? this.hash : computeHash(`${entry.id} ${entry.incarnation}`)
    this.markCold(entry.coldForMs, now)
  }

  updateEntry (entry: TargetEntry, now: number): void {
    this.entry = entry
    this.markCold(entry.coldForMs, now)
    this.departedAt = undefined
  }

  /** Records that the target is gone or that another one answers at its address. */
  markDeparted (now: number): void {
    this.departedAt ??= now
  }

  /** Records that this incarnation of the target announced that it is leaving. No later entry of it takes that back. */
  markLeaving (): void {
    this.hasAnnouncedLeaving = true
  }

  isLeaving (): boolean {
    return this.entry.draining || this.departedAt !== undefined || this.hasAnnouncedLeaving
  }

  isSuspended (now: number): boolean {
    return now < this.suspendedUntil
  }

  isCold (now: number): boolean {
    return now < this.coldUntil
  }

  markCold (forMs: number, now: number): void {
    if (forMs > 0) this.coldUntil = Math.max(this.coldUntil, now + forMs)
  }

  /** Whether the target was cold until recently, so that other targets still have the objects of its keys cached. */
  isWarmingUp (now: number): boolean {
    return now < this.coldUntil + WARM_UP_MS
  }

  /** Records that this host got an answer of the target or opened a connection to it. */
  observeContact (now: number): void {
    this.contactAt = now
  }

  /** Returns the milliseconds since the target last answered this host or accepted a connection of it; Infinity if it never has. */
  computeContactAge (now: number): number {
    return now - this.contactAt
  }

  /** Counts the requests at the target from this host and from all peers whose counts are recent. */
  countOutstanding (now: number): number {
    let sum = this.inFlight
    for (const { count, receivedAt } of this.peerCounts.values()) {
      if (now - receivedAt <= PEER_COUNT_MAX_AGE_MS) sum += count
    }
    return sum
  }

  receivePeerCount (host: string, count: number, now: number): void {
    if (count === 0) this.peerCounts.delete(host)
    else this.peerCounts.set(host, { count, receivedAt: now })
  }

  /** @param ratio measured time divided by the expected time */
  observeAnswer (ratio: number, now: number): void {
    this.applyDecay(now)
    this.suspensions = 0
    this.suspendedUntil = 0
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio))
    this.slowness += (bounded - this.slowness) * SLOWNESS_GAIN
    this.failureShare *= 1 - FAILURE_GAIN
  }

  /** Records a refusal or a failed answer. */
  observeFailure (now: number): void {
    this.applyDecay(now)
    this.failureShare += (1 - this.failureShare) * FAILURE_GAIN
  }

  /** Records that a connection failed or stopped responding: the target gets no requests for a while and is then tried again. */
  suspend (now: number): void {
    const suspensionMs = Math.min(MAX_SUSPENSION_MS, FIRST_SUSPENSION_MS * 2 ** this.suspensions)
    this.suspensions += 1
    this.suspendedUntil = now + suspensionMs
  }

  /** Forgets failures and suspensions, which were those of the link to the target. */
  clearFailures (): void {
    this.failureShare = 0
    this.suspensions = 0
    this.suspendedUntil = 0
  }

  getSlowness (now: number): number {
    return 1 + (this.slowness - 1) * this.computeDecay(now)
  }

  /**
   * Receives what this incarnation of the target stated about its load, in an answer to this host or through a peer. Returns false if
   * it is no newer than the last statement.
   */
  receiveStatement (statement: LoadStatement, statedAt: number): boolean {
    this.stated ??= new StatedLoad()
    return this.stated.receive(statement, statedAt)
  }

  /** Returns what is known of the target's statements; undefined where it states no speed, or no longer does. */
  findStated (now: number): StatedLoad | undefined {
    return this.stated !== undefined && this.stated.computeAge(now) <= STATES_SPEED_MS ? this.stated : undefined
  }

  getFailureShare (now: number): number {
    return this.failureShare * this.computeDecay(now)
  }

  private applyDecay (now: number): void {
    const decay = this.computeDecay(now)
    this.slowness = 1 + (this.slowness - 1) * decay
    this.failureShare *= decay
    this.decayedAt = now
  }

  private computeDecay (now: number): number {
    return 0.5 ** (Math.max(0, now - this.decayedAt) / HISTORY_HALF_LIFE_MS)
  }
}
