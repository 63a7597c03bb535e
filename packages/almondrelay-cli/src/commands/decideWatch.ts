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
    .with(WatchGoal.drained, () => ({ reached: reach.inForce && resource.status?.workLeft === 0, text: describeDrain(resource) }))
    .exhaustive()
}

const describeDrain = (resource: ShownResource): string => {
  const { workLeft, message } = resource.status ?? {}
  const left = workLeft === undefined ? 'what is left is not known' : `${workLeft} requests left`
  return `${workLeft === 0 ? 'drained' : 'draining'}, ${left}${message === undefined ? '' : ` (${message})`}`
}
