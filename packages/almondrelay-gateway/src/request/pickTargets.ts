import { computePairHash } from '../version/computePairHash.js'
import type { TargetState } from './targetState.js'

interface PickedTarget {
  target: TargetState
  /** Place in the order of the key among all targets, those that weren't allowed too; 0 is the key's own. */
  rank: number
}

/**
 * The first targets for a key by rendezvous hashing: a target that comes or goes moves its own keys only.
 * One pass and no sort: the cost of a choice among a thousand targets is most of a request's processor time.
 */
export function pickTargets (targets: readonly TargetState[], keyHash: number, count: number, isAllowed: (target: TargetState) => boolean): PickedTarget[] {
  const weights = targets.map((target) => computePairHash(target.hash, keyHash))
  const picked: number[] = []
  for (const [index, target] of targets.entries()) {
    const weight = weights[index] as number
    const last = picked[count - 1]
    if (last !== undefined && weight <= (weights[last] as number)) continue
    if (!isAllowed(target)) continue
    const place = picked.findIndex((each) => weight > (weights[each] as number))
    picked.splice(place < 0 ? picked.length : place, 0, index)
    picked.length = Math.min(picked.length, count)
  }
  return picked.map((index) => ({
    target: targets[index] as TargetState,
    rank: weights.reduce((above, weight) => weight > (weights[index] as number) ? above + 1 : above, 0)
  }))
}
