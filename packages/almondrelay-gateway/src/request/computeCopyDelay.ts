import { computeObjective } from './computeObjective.js'

/** Milliseconds before the latest moment, because timers fire late on a busy host. */
const TIMER_MARGIN_MS = 10

interface CopyDelayInput {
  /** Expected milliseconds to the answer of the first target, and its round trip. */
  expectedMs: number
  roundTripMs: number
  /** Expected work on a cached object at the usual speed. */
  warmMs: number
  targetLatencyMs: number
  /** Milliseconds since the request arrived. */
  elapsedMs: number
}

/**
 * Computes the milliseconds after which a request that may run twice is sent to a second target as well, if it isn't answered by then.
 *
 * Handles single requests that take seven times as long as others of their kind, and targets that are slow for a moment. A copy helps
 * only while it can still be on time; the later it leaves, the fewer of the answers that are just about to arrive are asked for twice.
 * If the first answer is expected to be late anyway, the copy leaves at once.
 */
export function computeCopyDelay ({ expectedMs, roundTripMs, warmMs, targetLatencyMs, elapsedMs }: CopyDelayInput): number {
  const remainingMs = computeObjective(targetLatencyMs) - elapsedMs
  if (expectedMs > remainingMs) return 0
  return Math.max(0, remainingMs - roundTripMs - warmMs - TIMER_MARGIN_MS)
}
