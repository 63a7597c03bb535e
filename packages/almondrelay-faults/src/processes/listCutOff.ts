import type { LoadResult } from 'almondrelay-stand-ins'

/** Timers may fire this much early, in milliseconds. */
const TIMER_MS = 5

/**
 * Requests told `unknown` before their caller's own deadline. At the deadline a caller gives up, and where an
 * attempt is on its way then it can't know more; on a busy machine that happens without any fault.
 */
export function listCutOff (results: readonly LoadResult[]): string[] {
  return results
    .filter(({ answer, latencyMs, operation }) => answer.outcome === 'unknown' && latencyMs < operation.deadlineMs - TIMER_MS)
    .map(({ answer, operation, latencyMs }) => `operation ${operation.number} was told unknown (${answer.reason}) after ${Math.round(latencyMs)} ms`)
}
