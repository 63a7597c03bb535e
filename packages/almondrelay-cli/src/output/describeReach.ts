import type { RevisionReach } from '../client/revisionReach.js'

/** Describes where a revision is in force. */
export function describeReach (revision: number, reach: RevisionReach): string {
  const unreachable = reach.unreachable.length === 0 ? '' : `; can't be reached, so not known: ${reach.unreachable.join(', ')}`
  const state = reach.inForce ? `in force in ${reach.zones} availability zones` : `not yet in force everywhere, behind: ${reach.lagging.join(', ') || 'the host that was asked'}`
  return `revision ${revision}: ${state}${unreachable}`
}
