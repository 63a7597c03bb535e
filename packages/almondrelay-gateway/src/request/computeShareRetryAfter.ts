import { computeShareDraw } from './computeShareDraw.js'
import { MAX_RETRY_AFTER_SHARE } from './maxRetryAfterShare.js'
import { SHARE_SLOT_MS } from './shareSlotMs.js'

/** Part of the admitted fraction with which a later slot is promised, as the fraction may have fallen by then. */
const PROMISED_FRACTION = 0.9
/** Earliest part of a slot that is told: clocks of a region's hosts differ by the way of a datagram. */
const SLOT_MARGIN = 0.25

interface ShareRetryInput {
  /** Part of the requests of this organisation's route that is admitted. */
  fraction: number
  requestHash: number
  /** Milliseconds of the clock that the region's hosts share. */
  clockMs: number
  /** Milliseconds until the caller stops waiting. */
  remainingMs: number
  /** In [0, 1). */
  random: number
}

/**
 * Computes the milliseconds after which a caller that was refused beyond its share finds room.
 *
 * Load: hundreds of callers refused in the same second that all come back. A caller is told the first slot in which its request will be
 * drawn, which spreads the returns at the rate at which room becomes available, and earlier for those of whom more are admitted. Hosts keep
 * nothing about refused callers: each computes the same draw. Without such a slot in the first third of the time left, the return is spread
 * at random over that third.
 */
export function computeShareRetryAfter ({ fraction, requestHash, clockMs, remainingMs, random }: ShareRetryInput): number {
  const maxMs = Math.max(0, remainingMs * MAX_RETRY_AFTER_SHARE)
  const current = Math.floor(clockMs / SHARE_SLOT_MS)
  for (let slot = current + 1; ; slot += 1) {
    const afterMs = (slot + SLOT_MARGIN + (1 - 2 * SLOT_MARGIN) * random) * SHARE_SLOT_MS - clockMs
    if (afterMs > maxMs) return maxMs * (1 + random) / 2
    if (computeShareDraw(requestHash, slot) < fraction * PROMISED_FRACTION) return afterMs
  }
}
