import { computePairHash } from '../version/computePairHash.js'
import type { TargetState } from './targetState.js'

interface PickedTarget {
  target: TargetState
  /** Position in the key's order of all targets, including those that aren't allowed; 0 is the preferred target. */
  rank: number
}

/**
 * Picks the first targets for a key by rendezvous hashing: a target that joins or leaves moves only its own keys. Works in a
 * single pass without sorting: the choice among a thousand targets takes most of a request's processor time.
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
