import { computeObjective } from './computeObjective.js'
import { CopyDecision } from './copyDecision.js'
import type { TargetChoice } from './targetChoice.js'

/** Minimum probability that the second target has the object cached; without it, the copy would be late. */
const MIN_CACHED_SHARE = 0.5
/** Share of the service's slots from which on copies would take them from requests that have nowhere else to run. */
const MAX_USAGE = 0.7

interface CopyInput {
  /** The best target besides those that the request was sent to; undefined where there is none. */
  second: TargetChoice | undefined
  /** Probability that a key's second target has its object cached. */
  cachedShare: number
  /** Expected work on a cached object at the usual speed. */
  warmMs: number
  targetLatencyMs: number
  /** Milliseconds since the request arrived. */
  elapsedMs: number
  /** Returns the share of the slots of the service's targets in the second target's region that are busy; called last, as it visits them all. */
  findUsage: (second: TargetChoice) => number
}

/**
 * Decides whether an unanswered request that may run twice is sent to a second target as well.
 *
 * Handles the same load as `computeCopyDelay`. Under overload, copies would double the load on a service that has no room for them, so
 * that every request becomes late: none is sent to a target with a queue or to a service whose slots are mostly busy.
 */
export function decideCopy ({ second, cachedShare, warmMs, targetLatencyMs, elapsedMs, findUsage }: CopyInput): CopyDecision {
  if (second === undefined) return CopyDecision.noTarget
  if (second.statedSlowness === undefined) return CopyDecision.unstated
  if (second.waitMs > 0) return CopyDecision.queue
  if (!second.isCached && cachedShare < MIN_CACHED_SHARE) return CopyDecision.uncached
  const expectedMs = second.roundTripMs + warmMs * second.statedSlowness
  if (elapsedMs + expectedMs > computeObjective(targetLatencyMs)) return CopyDecision.late
  return findUsage(second) > MAX_USAGE ? CopyDecision.busy : CopyDecision.send
}
