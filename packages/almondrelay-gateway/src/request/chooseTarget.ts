import type { ChoiceContext } from './choiceContext.js'
import { computePairHash } from '../version/computePairHash.js'
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

/** Rank of a key's own target that holds nothing yet: as of a second place. */
const STARTING_RANK = 1

/** Part of the additional work on an object anew that holding it at a second target is taken to cost. */
const SECOND_PLACE_PART = 0.4
/**
 * The same for work anew at a target all of whose slots are busy; it grows with the square of their use. An idle target costs
 * next to nothing, so that a hot key or one whose own target is slow finds a second place; in an overload of all targets
 * keys stay where they are held.
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
  const settled = targets.filter((target) => !target.isWarmingUp(context.now))
  if (settled.length === targets.length || settled.length === 0) return findCheapest(listChoices(targets, context))
  const choices = listChoices(settled, context)
  const starting = findStarting(targets.filter((target) => target.isWarmingUp(context.now)), choices[0], context)
  if (starting === undefined) return findCheapest(choices)
  // One that has a queue by now is warm enough: sent there, the request would be refused though the holder has room.
  const warmsUp = context.warmsUp && starting.waitMs === 0 && !starting.target.isCold(context.now)
  return warmsUp ? starting : findCheapest([...choices, starting])
}

const listChoices = (targets: readonly TargetState[], context: ChoiceContext): TargetChoice[] =>
  pickTargets(targets, context.keyHash, TARGETS_OF_KEY, (target) => isAllowed(target, context)).map(({ target, rank }) => estimateChoice(target, rank, context))

/**
 * The key's own target where that one is warming up.
 *
 * Answers targets that join or come back: each is the first of some keys at once, and holds none of their objects. With all
 * requests of a key there, each until the first one's end works on the object anew; at a request a second and three
 * seconds of work that is four or five of them, most of which end by their time limit. The target that held the object
 * before goes on meanwhile, and gives way to the new one by queues as to any second place.
 */
const findStarting = (targets: readonly TargetState[], holder: TargetChoice | undefined, context: ChoiceContext): TargetChoice | undefined => {
  const [own] = pickTargets(targets, context.keyHash, 1, (target) => isAllowed(target, context))
  if (own === undefined) return undefined
  const isFirst = holder === undefined || computePairHash(own.target.hash, context.keyHash) > computePairHash(holder.target.hash, context.keyHash)
  return isFirst ? estimateChoice(own.target, STARTING_RANK, context) : undefined
}

const isAllowed = (target: TargetState, context: ChoiceContext): boolean => !target.isCold(context.now) || context.allowCold(target)

const findCheapest = (choices: readonly TargetChoice[]): TargetChoice | undefined => {
  let best: TargetChoice | undefined
  for (const choice of choices) {
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
