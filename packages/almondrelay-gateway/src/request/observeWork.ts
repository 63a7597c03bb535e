import type { SecondPlaces } from './secondPlaces.js'
import type { TargetChoice } from './targetChoice.js'

interface WorkInput {
  choice: TargetChoice
  /** Milliseconds from sending to the answer, without the expected round trip and wait. */
  workMs: number
  /** Speed that the target stated with the answer; undefined where it states none. */
  speedPercent: number | undefined
  /** Expected work on a cached and on an uncached object. */
  warmMs: number
  coldMs: number
  places: SecondPlaces
  now: number
}

/**
 * Learns from the time of an answer how slow its target is beyond what it states, whether its statements can be trusted, and whether
 * second targets have their objects cached. Returns the milliseconds that the work would have taken at the usual speed.
 *
 * Handles targets that are slow for a moment: work on a cached object at a slow one takes about as long as work on an uncached object
 * at another, and one would be learnt as the other.
 */
export function observeWork ({ choice, workMs, speedPercent, warmMs, coldMs, places, now }: WorkInput): number {
  const { target } = choice
  const stated = speedPercent === undefined ? undefined : target.findStated(now)
  if (speedPercent !== undefined) stated?.observeWork({ workMs, speedPercent, warmMs, coldMs, waitMs: choice.waitMs }, now)
  const slowness = speedPercent === undefined ? undefined : stated?.limitSlowness(speedPercent, now)
  const usualMs = workMs / (slowness ?? 1)
  target.observeAnswer(usualMs / Math.max(1, choice.workMs / target.getSlowness(now) / (choice.statedSlowness ?? 1)), now)
  if (slowness !== undefined) places.observeWork({ rank: choice.rank, waitMs: choice.waitMs, usualMs, warmMs, coldMs }, now)
  return usualMs
}
