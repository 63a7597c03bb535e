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
  const weights: number[] = []
  const picked: number[] = []
  let minWeight = -1
  for (let index = 0; index < targets.length; index += 1) {
    const target = targets[index] as TargetState
    const weight = computePairHash(target.hash, keyHash)
    weights.push(weight)
    if (weight <= minWeight || !isAllowed(target)) continue
    const place = picked.findIndex((each) => weight > (weights[each] as number))
    picked.splice(place < 0 ? picked.length : place, 0, index)
    picked.length = Math.min(picked.length, count)
    if (picked.length === count) minWeight = weights[picked[count - 1] as number] as number
  }
  return picked.map((index) => ({ target: targets[index] as TargetState, rank: countAbove(weights, weights[index] as number) }))
}

const countAbove = (weights: readonly number[], weight: number): number => {
  let above = 0
  for (const each of weights) {
    if (each > weight) above += 1
  }
  return above
}
