import type { AllowanceInput } from './allowanceInput.js'

/** Seconds of requests for which there has to be room: what the others let through is known about as late as that. */
const SETTLING_S = 0.8
/** Part of the limit that is held back: what the others let through is known late, and a rush that begins passes what is aimed at. */
const HELD_BACK_PART = 0.05
/** Requests of that part that are let through all the same: a limit of a hundred in a window is passed by a few, if at all. */
const SPARED_REQUESTS = 5

/**
 * Part of an organisation's requests that this host lets through, so that all hosts together keep to its allowance.
 *
 * Answers an organisation that sends many times its usual through many hosts, each of which sees a small part of its requests:
 * an equal split of the allowance refuses nearly all of one that asks each host once in seconds, though it is far below its
 * limit, and counts of a host's own let through as many times the limit as there are hosts. Here every host knows the sum, as
 * it was a moment ago, and drops the same part, by chance: below the limit nothing, above it as much as is too much.
 * What leaves the window meanwhile counts as room: without it an organisation that always asks for more gets four fifths of its limit.
 * A host that doesn't hear others keeps to the part of the limit that those it hears are of all hosts, so that two sides of
 * a partition, each with all of it, don't let through twice as much.
 */
export function computeAllowedPart ({ limit, used, leavingPerSecond, askedPerSecond, reach }: AllowanceInput): number {
  const aim = limit - Math.max(0, limit * HELD_BACK_PART - SPARED_REQUESTS)
  const room = aim * reach - used + leavingPerSecond * SETTLING_S
  if (room <= 0) return 0
  const soon = askedPerSecond * SETTLING_S
  return soon <= room ? 1 : room / soon
}
