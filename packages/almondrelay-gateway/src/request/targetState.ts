import { computeHash } from '../version/computeHash.js'
import type { TargetEntry } from './targetEntry.js'
import { WarmKeys } from './warmKeys.js'

/** Weight of one answer in the estimate of a target's speed: about the last ten answers count. */
const SPEED_GAIN = 0.1
/** Weight of one answer in the share of failures: a target that refuses half is seen after four answers. */
const FAILURE_GAIN = 0.15
/** Milliseconds in which half of what is held against a target is forgiven, so that one without work is tried again. */
const FORGIVING_HALF_LIFE_MS = 2_000
/** Bounds of the ratio between a target's time and the expected one; beyond them more says nothing more. */
const SLOWEST_RATIO = 20
const FASTEST_RATIO = 0.7
/** Milliseconds for which a target isn't used after a failed connection, doubled with each further one. */
const FIRST_PAUSE_MS = 300
const LONGEST_PAUSE_MS = 2_000
/**
 * Milliseconds after a target was cold in which it is taken to hold none of its objects. A quarter of the requests for them
 * goes there in that time, so one that is asked for once a second is worked on there before all of its requests come.
 */
const WARM_UP_MS = 8_000
/** Milliseconds after which a peer's count of running requests says nothing of the present. */
const PEER_COUNT_MAX_AGE_MS = 1_500

/**
 * What this host knows of one life of a target: its entry, its load and how it has answered. A target that was started
 * again holds nothing of before and gets another one. Times are monotonic milliseconds.
 */
export class TargetState {
  /** Places the target in the order of each key; the same for all its lives, so that its keys come back to it. */
  readonly hash: number
  /** Names this life of the target in reports between hosts. */
  readonly incarnationHash: number
  /** Requests that this host has at the target. */
  inFlight = 0
  readonly warmKeys = new WarmKeys()
  private readonly peerCounts = new Map<string, { count: number, heardAt: number }>()
  private speedRatio = 1
  private failureShare = 0
  private judgedAt = 0
  private suspendedUntil = 0
  private suspensions = 0
  private coldUntil = -Infinity
  private departedAt: number | undefined

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

  /** Notes that the target is gone or that another one answers at its address. */
  markDeparted (now: number): void {
    this.departedAt ??= now
  }

  isLeaving (): boolean {
    return this.entry.draining || this.departedAt !== undefined
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

  /** Whether the target was cold until lately, so that other targets still hold the objects of its keys. */
  isWarmingUp (now: number): boolean {
    return now < this.coldUntil + WARM_UP_MS
  }

  /** Requests at the target from all hosts whose counts are fresh. */
  countOutstanding (now: number): number {
    let sum = this.inFlight
    for (const { count, heardAt } of this.peerCounts.values()) {
      if (now - heardAt <= PEER_COUNT_MAX_AGE_MS) sum += count
    }
    return sum
  }

  hearPeerCount (host: string, count: number, now: number): void {
    if (count === 0) this.peerCounts.delete(host)
    else this.peerCounts.set(host, { count, heardAt: now })
  }

  /** `ratio`: the measured time over the expected one. */
  observeAnswer (ratio: number, now: number): void {
    this.expireJudgement(now)
    this.suspensions = 0
    this.suspendedUntil = 0
    const bounded = Math.min(SLOWEST_RATIO, Math.max(FASTEST_RATIO, ratio))
    this.speedRatio += (bounded - this.speedRatio) * SPEED_GAIN
    this.failureShare *= 1 - FAILURE_GAIN
  }

  /** Notes a refusal or a failed answer. */
  observeFailure (now: number): void {
    this.expireJudgement(now)
    this.failureShare += (1 - this.failureShare) * FAILURE_GAIN
  }

  /** A connection could not be had or went silent: no work for a while, then one trial. */
  suspend (now: number): void {
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.suspensions)
    this.suspensions += 1
    this.suspendedUntil = now + pauseMs
  }

  getSpeedRatio (now: number): number {
    return 1 + (this.speedRatio - 1) * this.computeMemory(now)
  }

  getFailureShare (now: number): number {
    return this.failureShare * this.computeMemory(now)
  }

  private expireJudgement (now: number): void {
    const memory = this.computeMemory(now)
    this.speedRatio = 1 + (this.speedRatio - 1) * memory
    this.failureShare *= memory
    this.judgedAt = now
  }

  private computeMemory (now: number): number {
    return 0.5 ** (Math.max(0, now - this.judgedAt) / FORGIVING_HALF_LIFE_MS)
  }
}
