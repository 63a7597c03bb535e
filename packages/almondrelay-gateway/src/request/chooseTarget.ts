import type { ChoiceContext } from './choiceContext.js'
import { rankTargets } from './rankTargets.js'
import type { TargetChoice } from './targetChoice.js'
import type { TargetState } from './targetState.js'

/** A cold target works about twice as long for its first seconds. */
const COLD_TARGET_RATIO = 2
/**
 * Latency targets that one failure costs: the request is late, and its repeat takes one of the few that all hosts
 * may send to the service. At this price a target that fails 4 of 10 loses its keys.
 */
const FAILURE_COST = 2

/**
 * The target from which an answer is expected soonest.
 *
 * Answers many callers asking for the same objects: a target that handled an object lately answers it
 * several times faster, so each key has one target of its own (rendezvous hashing) and leaves it only when
 * waiting there costs more than working on the object anew elsewhere. Without it every target works on
 * every object from scratch, and a service at a third of its capacity is overloaded.
 */
export function chooseTarget (targets: readonly TargetState[], context: ChoiceContext): TargetChoice | undefined {
  const eligible = targets.filter((target) => !target.isLeaving() && context.isEligible(target))
  const usable = eligible.filter((target) => !target.isPaused(context.now))
  const near = usable.filter((target) => target.entry.region === context.homeRegion)
  const away = usable.filter((target) => target.entry.region !== context.homeRegion)
  const atHome = findSoonest(near, context, 0)
  if (atHome !== undefined && !context.allowAway) return atHome
  const elsewhere = findSoonest(away, context, near.length)
  if (atHome === undefined) return elsewhere ?? findSoonest(eligible, context, 0)
  return elsewhere !== undefined && elsewhere.expectedMs < atHome.expectedMs ? elsewhere : atHome
}

const findSoonest = (targets: readonly TargetState[], context: ChoiceContext, firstRank: number): TargetChoice | undefined => {
  let best: TargetChoice | undefined
  for (const [index, target] of rankTargets(targets, context.keyHash).entries()) {
    if (target.isCold(context.now) && !context.allowCold(target)) continue
    const choice = estimateChoice(target, firstRank + index, context)
    if (best === undefined || choice.expectedMs < best.expectedMs) best = choice
  }
  return best
}

const estimateChoice = (target: TargetState, rank: number, context: ChoiceContext): TargetChoice => {
  const { now } = context
  const outstanding = target.countOutstanding(now)
  const speed = target.getSpeedRatio(now) * (target.isCold(now) ? COLD_TARGET_RATIO : 1)
  const workMs = (rank === 0 ? context.warmMs : context.coldMs) * speed
  const ahead = Math.max(0, outstanding + 1 - target.entry.slots)
  const waitMs = ahead / target.entry.slots * context.warmMs * speed
  const tripMs = context.findTripMs(target.entry.region)
  const failureShare = Math.min(0.95, target.getFailureShare(now))
  const failureMs = failureShare / (1 - failureShare) * FAILURE_COST * context.targetLatencyMs
  return { target, expectedMs: tripMs + waitMs + workMs + failureMs, workMs, waitMs, tripMs, rank, outstanding }
}
