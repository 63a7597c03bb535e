import { STATES_SPEED_MS } from './statesSpeedMs.js'

/** Weight of one answer in the share of cached objects at second targets: about the last ten answers count. */
const SECOND_GAIN = 0.1
/** Weight of one answer in the share of misses at preferred targets, which get most requests. */
const PREFERRED_GAIN = 0.02
/**
 * Share that is assumed before any answer, and to which the share returns over time. It is high enough that a key whose preferred
 * target is slow tries its second one: the object is cached there from then on.
 */
const INITIAL_SHARE = 0.7
/** Half-life, in milliseconds, of what was learnt of second targets, so that a full memory is tried again after a while. */
const HALF_LIFE_MS = 5_000
/**
 * Shares of misses at preferred targets between which the memory of targets counts as sufficient and as full. Where a speed changes
 * during the work, a hit looks like a miss, so a few are always counted.
 */
const SUFFICIENT_MISS_SHARE = 0.08
const FULL_MISS_SHARE = 0.2
/** Work that takes longer than this multiple of that on an uncached object is one of the few long requests, and says nothing. */
const MAX_COLD_RATIO = 1.3

interface PlaceWork {
  /** Rank of the target for the key; 0 is the preferred target. */
  rank: number
  /** Expected wait in the target's queue. A wait can't be told from work on an uncached object. */
  waitMs: number
  /** Milliseconds that the work would have taken at the usual speed. */
  usualMs: number
  warmMs: number
  coldMs: number
}

/**
 * Learns how often a key's second target has the object cached, and whether the targets' memory is large enough for two places a key.
 *
 * Handles targets that are slow for a moment: the key's second target is the better one only where it has the object, and a host sees
 * each key too seldom to know that of a single one. Where memory is too small, objects at a second target evict those that are needed.
 */
export class SecondPlaces {
  private secondShare = INITIAL_SHARE
  private preferredMissShare = 0
  private learntAt = 0
  private statedAt = -Infinity

  /** Learns from an answer in which a target stated its speed. */
  observeWork ({ rank, waitMs, usualMs, warmMs, coldMs }: PlaceWork, now: number): void {
    this.statedAt = now
    if (waitMs > 0 || usualMs > coldMs * MAX_COLD_RATIO) return
    const isCached = usualMs <= Math.sqrt(warmMs * coldMs)
    if (rank === 0) {
      this.preferredMissShare += ((isCached ? 0 : 1) - this.preferredMissShare) * PREFERRED_GAIN
      return
    }
    const share = this.getCachedShare(now)
    this.secondShare = share + ((isCached ? 1 : 0) - share) * SECOND_GAIN
    this.learntAt = now
  }

  /** Whether targets of the service have stated their speeds to this host lately. */
  isActive (now: number): boolean {
    return now - this.statedAt <= STATES_SPEED_MS
  }

  /** Returns the share of the work at second targets that finds its object cached. */
  getCachedShare (now: number): number {
    return INITIAL_SHARE + (this.secondShare - INITIAL_SHARE) * 0.5 ** (Math.max(0, now - this.learntAt) / HALF_LIFE_MS)
  }

  /** Returns how full the targets' memory is, from 0 (room for two places a key) to 1. */
  computeMemoryUse (): number {
    return Math.min(1, Math.max(0, (this.preferredMissShare - SUFFICIENT_MISS_SHARE) / (FULL_MISS_SHARE - SUFFICIENT_MISS_SHARE)))
  }
}
