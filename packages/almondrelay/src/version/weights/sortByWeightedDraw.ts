import type { Random } from '../../request/random.js'
import type { HostWeight } from './hostWeight.js'

/** Returns the hosts in weighted random order, so that callers which only use the first host are spread by weight too. */
export function sortByWeightedDraw (weights: readonly HostWeight[], random: Random): HostWeight[] {
  const drawn = weights.map((entry) => ({ entry, key: entry.weight <= 0 ? Infinity : -Math.log(1 - random()) / entry.weight }))
  drawn.sort((one, other) => one.key - other.key)
  return drawn.map(({ entry }) => entry)
}
