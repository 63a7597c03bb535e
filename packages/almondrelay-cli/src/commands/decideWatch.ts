import { match } from 'ts-pattern'
import { computeReach } from '../client/computeReach.js'
import type { HostStatus } from '../client/hostStatus.js'
import type { ShownResource } from '../client/shownResource.js'
import { describeReach } from '../output/describeReach.js'
import { WatchGoal } from './watchGoal.js'
import type { WatchState } from './watchState.js'

/** Whether a resource is where the operator wants it, and how far it is, in words. */
export function decideWatch (goal: WatchGoal, resource: ShownResource, status: HostStatus): WatchState {
  const reach = computeReach(status, resource.revision)
  return match(goal)
    .with(WatchGoal.inForce, () => ({ reached: reach.inForce, text: describeReach(resource.revision, reach) }))
    .with(WatchGoal.drained, () => ({ reached: reach.inForce && resource.status?.drained === true, text: describeDrain(resource) }))
    .exhaustive()
}

const describeDrain = (resource: ShownResource): string => {
  const { drained, remaining, heldBackBy } = resource.status ?? {}
  const left = remaining === undefined ? 'what is left is not known' : `${remaining} requests left`
  return `${drained === true ? 'drained' : 'draining'}, ${left}${heldBackBy === undefined ? '' : `, held back by ${heldBackBy}`}`
}
