import type { ChoiceContext } from './choiceContext.js'
import { computePairHash } from '../version/computePairHash.js'
import { pickTargets } from './pickTargets.js'
import type { StatedLoad } from './statedLoad.js'
import type { TargetChoice } from './targetChoice.js'
import type { TargetState } from './targetState.js'

/** Approximate factor by which work takes longer at a cold target, during its first seconds. */
const COLD_TARGET_SLOWNESS = 2
/**
 * Cost of one failure, as a multiple of the latency target: the request is late, and its retry is one of the few that all hosts
 * together may send to the service. At this cost a target that fails 4 of 10 requests loses its keys.
 */
const FAILURE_COST = 2

/**
 * Maximum number of targets that are considered for a key, as they may have its object cached: the preferred target, and the
 * second one, which gets the request when the preferred target is full.
 */
const MAX_TARGETS_PER_KEY = 2

/** Rank of a preferred target that is warming up and has nothing cached yet: the same as that of a second target. */
const WARMING_UP_RANK = 1

/** Cost of caching an object at a second target, as a share of the additional work that an uncached object takes. */
const SECOND_TARGET_COST_SHARE = 0.4
/**
 * Cost of working on an uncached object at a target whose slots are all busy, as a multiple of the additional work; it grows with
 * the square of the share of busy slots. An idle target costs next to nothing, so that a hot key, or one whose preferred target
 * is slow, gets a second target; while all targets are overloaded, keys stay where they are cached.
 */
const BUSY_TARGET_COST_FACTOR = 8

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
  const homeTargets: TargetState[] = []
  const remoteTargets: TargetState[] = []
  for (const target of targets) {
    if (!isEligible(target, context) || target.isSuspended(context.now)) continue
    if (target.entry.region === context.homeRegion) homeTargets.push(target)
    else remoteTargets.push(target)
  }
  const homeChoice = chooseAmong(homeTargets, context)
  if (homeChoice !== undefined && !context.canSpill) return homeChoice
  // Targets that have reached their request limits take more in a moment, so their region's requests don't all leave it.
  if (homeChoice === undefined && !context.canSpill && homeTargets.some(context.isLimited)) return undefined
  const remoteChoice = chooseAmong(remoteTargets, context)
  if (homeChoice === undefined) return remoteChoice ?? chooseAmong(targets.filter((target) => isEligible(target, context)), context)
  return remoteChoice !== undefined && remoteChoice.costMs < homeChoice.costMs ? remoteChoice : homeChoice
}

const isEligible = (target: TargetState, context: ChoiceContext): boolean => !target.isLeaving() && context.isEligible(target)

const chooseAmong = (targets: readonly TargetState[], context: ChoiceContext): TargetChoice | undefined => {
  if (!targets.some((target) => target.isWarmingUp(context.now))) return findCheapest(listChoices(targets, context))
  const warmedUp = targets.filter((target) => !target.isWarmingUp(context.now))
  if (warmedUp.length === 0) return findCheapest(listChoices(targets, context))
  const choices = listChoices(warmedUp, context)
  const warmingUpChoice = findWarmingUpChoice(targets.filter((target) => target.isWarmingUp(context.now)), choices[0], context)
  if (warmingUpChoice === undefined) return findCheapest(choices)
  // A target that has a queue by now is warm enough: a request sent there would be refused although the target that has the
  // object cached has room.
  const shouldWarmUp = context.isWarmUpRequest && warmingUpChoice.waitMs === 0 && !warmingUpChoice.target.isCold(context.now)
  return shouldWarmUp ? warmingUpChoice : findCheapest([...choices, warmingUpChoice])
}

const listChoices = (targets: readonly TargetState[], context: ChoiceContext): TargetChoice[] =>
  pickTargets(targets, context.keyHash, MAX_TARGETS_PER_KEY, (target) => isAllowed(target, context)).map(({ target, rank }) => estimateChoice(target, rank, context))

/**
 * Chooses the key's preferred target where that target is warming up; undefined where it isn't.
 *
 * A target that joins or comes back becomes the preferred target of some keys at once, and has none of their objects cached. If
 * all requests of a key went there, each one that arrives before the first is finished would work on the object from scratch: at
 * one request a second and three seconds of work that is four or five requests, most of which would time out. Instead, the target
 * that had the object cached before goes on serving it, and gives way to the new target by queue length, as to any second target.
 */
const findWarmingUpChoice = (targets: readonly TargetState[], warmedUpChoice: TargetChoice | undefined, context: ChoiceContext): TargetChoice | undefined => {
  const [preferred] = pickTargets(targets, context.keyHash, 1, (target) => isAllowed(target, context))
  if (preferred === undefined) return undefined
  const isPreferred = warmedUpChoice === undefined || computePairHash(preferred.target.hash, context.keyHash) > computePairHash(warmedUpChoice.target.hash, context.keyHash)
  return isPreferred ? estimateChoice(preferred.target, WARMING_UP_RANK, context) : undefined
}

const isAllowed = (target: TargetState, context: ChoiceContext): boolean => context.allowSend(target) && (!target.isCold(context.now) || context.allowCold(target))

const findCheapest = (choices: readonly TargetChoice[]): TargetChoice | undefined => {
  let best: TargetChoice | undefined
  for (const choice of choices) {
    if (best === undefined || choice.costMs < best.costMs) best = choice
  }
  return best
}

const estimateChoice = (target: TargetState, rank: number, context: ChoiceContext): TargetChoice => {
  const { now, warmMs, coldMs } = context
  const stated = context.ignoresStatements === true ? undefined : target.findStated(now)
  const statedSlowness = stated?.getSlowness(now)
  const outstanding = estimateOutstanding(target, stated, now)
  const slowness = target.getSlowness(now) * (target.isCold(now) ? COLD_TARGET_SLOWNESS : 1) * (statedSlowness ?? 1)
  const isCached = target.warmKeys.has(context.keyHash)
  const isWarmWork = (rank === 0 && target.entry.region === context.homeRegion) || isCached
  const places = context.ignoresStatements !== true && context.places?.isActive(now) === true ? context.places : undefined
  const cachedShare = isWarmWork ? 1 : rank === 0 ? 0 : places?.getCachedShare(now) ?? 0
  const workMs = (isWarmWork ? warmMs : coldMs - (coldMs - warmMs) * cachedShare) * slowness
  const ahead = Math.max(0, outstanding + 1 - target.entry.slots)
  const waitMs = ahead / target.entry.slots * context.meanMs * slowness
  const roundTripMs = context.findRoundTripMs(target.entry.region)
  const failureShare = Math.min(0.95, target.getFailureShare(now))
  const failureMs = failureShare / (1 - failureShare) * FAILURE_COST * context.targetLatencyMs
  const secondCostShare = SECOND_TARGET_COST_SHARE * (places?.computeMemoryUse() ?? 1)
  const laterCostMs = estimateLaterCost({ cachedShare, rank, usage: outstanding / target.entry.slots, extraColdMs: coldMs - warmMs, secondCostShare })
  return { target, expectedMs: roundTripMs + waitMs + workMs, costMs: roundTripMs + waitMs + workMs + failureMs + laterCostMs, workMs, waitMs, roundTripMs, rank, outstanding, isCached, statedSlowness, statedAgeMs: statedSlowness === undefined ? undefined : stated?.computeAge(now) }
}

/**
 * Estimates the requests at a target. What it stated is exact, but misses what other hosts have sent since; so with the age of the
 * statement the estimate moves on to the counts that the hosts report. Otherwise all hosts that see the same idle target would choose it.
 */
const estimateOutstanding = (target: TargetState, stated: StatedLoad | undefined, now: number): number => {
  const counted = target.countOutstanding(now)
  const statedCount = stated?.estimateOutstanding(now)
  return stated === undefined || statedCount === undefined ? counted : counted + (statedCount - counted) * stated.computeWeight(now)
}

interface LaterCostInput {
  /** Probability that the target has the object cached. */
  cachedShare: number
  rank: number
  /** Requests at the target as a share of its slots. */
  usage: number
  /** Additional work on an uncached object. */
  extraColdMs: number
  /** Cost of a second place, as a share of that work: below SECOND_TARGET_COST_SHARE where targets have memory for two places a key. */
  secondCostShare: number
}

/**
 * Estimates what a choice costs later requests. Work on an uncached object takes slots from the requests behind it, the more the
 * busier the target is. Caching an object at a second target evicts another object there: targets remember few objects, and with
 * every key at two targets the memory of a small region would be full and keep nothing for long.
 */
const estimateLaterCost = ({ cachedShare, rank, usage, extraColdMs, secondCostShare }: LaterCostInput): number => {
  if (cachedShare < 1) return extraColdMs * (secondCostShare + BUSY_TARGET_COST_FACTOR * usage ** 2 * (1 - cachedShare))
  return rank === 0 ? 0 : extraColdMs * secondCostShare
}
