import type { ClassWork } from './classWork.js'
import type { FairShares } from './fairShares.js'

/**
 * Divides a capacity among organisations: ranks in their order, and max-min fair in milliseconds of work within a rank.
 *
 * Load: one organisation sends seven times its usual demand among 73 of skewed sizes. In proportion to demand, it would get most of the
 * capacity. With max-min shares nobody gets more than it asks for, and nobody is refused while another one gets more.
 */
export function computeFairShares (organisations: ReadonlyMap<number, ClassWork>, capacityMs: number): FairShares {
  const priorities = [...new Set([...organisations.values()].map(({ priority }) => priority))].sort((first, second) => first - second)
  let leftMs = Math.max(0, capacityMs)
  for (const priority of priorities) {
    const group = [...organisations].filter(([, work]) => work.priority === priority)
    const askedMs = group.reduce((sum, [, work]) => sum + work.askedMs, 0)
    if (askedMs > leftMs) return { ...splitEvenly(group, leftMs), marginPriority: priority }
    leftMs -= askedMs
  }
  return { restricted: new Set(), shareMs: Infinity, marginPriority: Infinity }
}

/** Returns those that ask for more than an even split of the capacity gives them, when what the others leave is split among them too. */
const splitEvenly = (group: ReadonlyArray<[number, ClassWork]>, capacityMs: number): Pick<FairShares, 'restricted' | 'shareMs'> => {
  const ascending = [...group].sort(([, first], [, second]) => first.askedMs - second.askedMs)
  let leftMs = capacityMs
  for (const [index, [, { askedMs }]] of ascending.entries()) {
    const shareMs = leftMs / (ascending.length - index)
    if (askedMs > shareMs) return { restricted: new Set(ascending.slice(index).map(([hash]) => hash)), shareMs }
    leftMs -= askedMs
  }
  return { restricted: new Set(), shareMs: Infinity }
}
