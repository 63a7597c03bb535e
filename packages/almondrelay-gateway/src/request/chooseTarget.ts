import type { ChoiceContext } from './choiceContext.js'
import { computePairHash } from '../version/computePairHash.js'
import { pickTargets } from './pickTargets.js'
import type { TargetChoice } from './targetChoice.js'
import type { TargetState } from './targetState.js'

/** Approximate factor by which work takes longer at a cold target, during its first seconds. */
const COLD_TARGET_RATIO = 2
/**
 * Cost of one failure, as a multiple of the latency target: the request is late, and its retry is one of the few that all hosts
 * together may send to the service. At this cost a target that fails 4 of 10 requests loses its keys.
 */
const FAILURE_COST = 2

/**
 * Maximum number of targets that are considered for a key, as they may have its object cached: the preferred target, and the
 * second one, which gets the request when the preferred target is full.
 */
const TARGETS_OF_KEY = 2

/** Rank of a preferred target that is warming up and has nothing cached yet: the same as that of a second target. */
const STARTING_RANK = 1

/** Cost of caching an object at a second target, as a share of the additional work that an uncached object takes. */
const SECOND_PLACE_PART = 0.4
/**
 * Cost of working on an uncached object at a target whose slots are all busy, as a multiple of the additional work; it grows with
 * the square of the share of busy slots. An idle target costs next to nothing, so that a hot key, or one whose preferred target
 * is slow, gets a second target; while all targets are overloaded, keys stay where they are cached.
 */
const BUSY_PLACE_PART = 8

/**
 * Chooses the target with the lowest expected cost, mostly the one that answers soonest; undefined where no target is left. A
 * request leaves its home region only where `canSpill` allows that or no usable target is left there; a suspended target is
 * chosen only where there is no other.
 *
 * Many callers ask for the same objects, and a target that has handled an object recently answers several times faster. So each
 * key has a preferred target (by rendezvous hashing) and a second one for when the first is full. Sending requests to any target
 * with a free slot would instead make every target work on every object from scratch: at a third of its warm capacity a service
 * would then be overloaded, and it would stay so, as the next requests would find no object cached either.
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
  // A target that has a queue by now is warm enough: a request sent there would be refused although the target that has the
  // object cached has room.
  const warmsUp = context.warmsUp && starting.waitMs === 0 && !starting.target.isCold(context.now)
  return warmsUp ? starting : findCheapest([...choices, starting])
}

const listChoices = (targets: readonly TargetState[], context: ChoiceContext): TargetChoice[] =>
  pickTargets(targets, context.keyHash, TARGETS_OF_KEY, (target) => isAllowed(target, context)).map(({ target, rank }) => estimateChoice(target, rank, context))

/**
 * Chooses the key's preferred target where that target is warming up; undefined where it isn't.
 *
 * A target that joins or comes back becomes the preferred target of some keys at once, and has none of their objects cached. If
 * all requests of a key went there, each one that arrives before the first is finished would work on the object from scratch: at
 * one request a second and three seconds of work that is four or five requests, most of which would time out. Instead, the target
 * that had the object cached before goes on serving it, and gives way to the new target by queue length, as to any second target.
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
 * Estimates what a choice costs later requests. Work on an uncached object takes slots from the requests behind it, the more the
 * busier the target is. Caching an object at a second target evicts another object there: targets remember few objects, and with
 * every key at two targets the memory of a small region would be full and keep nothing for long.
 */
const estimateBurden = (isWarm: boolean, rank: number, use: number, coldExtraMs: number): number => {
  if (!isWarm) return coldExtraMs * (SECOND_PLACE_PART + BUSY_PLACE_PART * use ** 2)
  return rank === 0 ? 0 : coldExtraMs * SECOND_PLACE_PART
}
