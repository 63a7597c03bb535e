import type { ChoiceContext } from './choiceContext.js'
import { pickTargets } from './pickTargets.js'
import type { TargetChoice } from './targetChoice.js'
import type { TargetState } from './targetState.js'

/** A cold target works about twice as long for its first seconds. */
const COLD_TARGET_RATIO = 2
/**
 * Latency targets that one failure costs: the request is late, and its repeat takes one of the few that all hosts
 * may send to the service. At this price a target that fails 4 of 10 loses its keys.
 */
const FAILURE_COST = 2

/** Targets of a key that may hold its object: its own and the one to which it goes when that one is full. */
const TARGETS_OF_KEY = 2

/** Part of the additional work on an object anew that holding it at a second target is taken to cost. */
const SECOND_PLACE_PART = 0.4
/**
 * The same for work anew at a target all of whose slots are busy; it grows with the square of their use. An idle target costs
 * next to nothing, so that a hot key or one whose own target is slow finds a second place; in an overload of all targets
 * keys stay where they are held. Days with a burst beside lost targets are worth 0.759 with this and 0.741 with a part of 1
 * (16 targets of 9 slots), 0.735 and 0.725 (14 of 6); with no second place at all 0.777 and 0.725, but then no key finds one.
 */
const BUSY_PLACE_PART = 8

/**
 * The target from which an answer is expected soonest; undefined where none is left.
 *
 * Answers many callers asking for the same objects: a target that handled an object lately answers it
 * several times faster, so each key has one target of its own (rendezvous hashing) and a second one for when
 * the first is full. Going to any target with room instead makes each work on every object anew: at a third of
 * its warm capacity a service is then overloaded and stays so, as the next requests find no object held either.
 */
export function chooseTarget (targets: readonly TargetState[], context: ChoiceContext): TargetChoice | undefined {
  const eligible = targets.filter((target) => !target.isLeaving() && context.isEligible(target))
  const usable = eligible.filter((target) => !target.isSuspended(context.now))
  const near = usable.filter((target) => target.entry.region === context.homeRegion)
  const atHome = findSoonest(near, context)
  if (atHome !== undefined && !context.allowAway) return atHome
  const elsewhere = findSoonest(usable.filter((target) => target.entry.region !== context.homeRegion), context)
  if (atHome === undefined) return elsewhere ?? findSoonest(eligible, context)
  return elsewhere !== undefined && elsewhere.costMs < atHome.costMs ? elsewhere : atHome
}

const findSoonest = (targets: readonly TargetState[], context: ChoiceContext): TargetChoice | undefined => {
  const isAllowed = (target: TargetState): boolean => !target.isCold(context.now) || context.allowCold(target)
  let best: TargetChoice | undefined
  for (const { target, rank } of pickTargets(targets, context.keyHash, TARGETS_OF_KEY, isAllowed)) {
    const choice = estimateChoice(target, rank, context)
    if (best === undefined || choice.costMs < best.costMs) best = choice
  }
  return best
}

const estimateChoice = (target: TargetState, rank: number, context: ChoiceContext): TargetChoice => {
  const { now, warmMs, coldMs } = context
  const outstanding = target.countOutstanding(now)
  const speed = target.getSpeedRatio(now) * (target.isCold(now) ? COLD_TARGET_RATIO : 1)
  const isHeld = target.warmKeys.has(context.keyHash)
  const isWarm = (rank === 0 && target.entry.region === context.homeRegion) || isHeld
  const workMs = (isWarm ? warmMs : coldMs) * speed
  const ahead = Math.max(0, outstanding + 1 - target.entry.slots)
  const waitMs = ahead / target.entry.slots * context.meanMs * speed
  const tripMs = context.findTripMs(target.entry.region)
  const failureShare = Math.min(0.95, target.getFailureShare(now))
  const failureMs = failureShare / (1 - failureShare) * FAILURE_COST * context.targetLatencyMs
  const burdenMs = estimateBurden(isWarm, rank, outstanding / target.entry.slots, coldMs - warmMs)
  return { target, expectedMs: tripMs + waitMs + workMs, costMs: tripMs + waitMs + workMs + failureMs + burdenMs, workMs, waitMs, tripMs, rank, outstanding, isWarm: isHeld }
}

/**
 * What a choice costs the requests after it. Work on an object anew takes slots from those behind it, the more the
 * busier the target is. An object that is held at a second place takes the place of another one there: targets
 * remember few, and with every key at two of them the memory of a small region is full and holds nothing for long.
 */
const estimateBurden = (isWarm: boolean, rank: number, use: number, coldExtraMs: number): number => {
  if (!isWarm) return coldExtraMs * (SECOND_PLACE_PART + BUSY_PLACE_PART * use ** 2)
  return rank === 0 ? 0 : coldExtraMs * SECOND_PLACE_PART
}
