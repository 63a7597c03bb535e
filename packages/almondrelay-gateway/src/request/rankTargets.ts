import { computePairHash } from '../version/computePairHash.js'
import type { TargetState } from './targetState.js'

/** Order of the targets for a key by rendezvous hashing: a target that comes or goes moves its own keys only. */
export function rankTargets (targets: readonly TargetState[], keyHash: number): TargetState[] {
  return targets
    .map((target) => ({ target, weight: computePairHash(target.hash, keyHash) }))
    .sort((first, second) => second.weight - first.weight)
    .map(({ target }) => target)
}
