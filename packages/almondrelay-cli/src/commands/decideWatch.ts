import { match } from 'ts-pattern'
import { computeReach } from '../client/computeReach.js'
import type { HostStatus } from '../client/hostStatus.js'
import type { ShownResource } from '../client/shownResource.js'
import { describeReach } from '../output/describeReach.js'
import { WatchGoal } from './watchGoal.js'
import type { WatchState } from './watchState.js'

/** Decides whether a resource has reached the goal, and describes its progress. */
export function decideWatch (goal: WatchGoal, resource: ShownResource, status: HostStatus): WatchState {
  const reach = computeReach(status, resource.revision)
  return match(goal)
    .with(WatchGoal.inForce, () => ({ reached: reach.inForce, text: describeReach(resource.revision, reach) }))
    .with(WatchGoal.drained, () => ({ reached: reach.inForce && resource.status?.workLeft === 0, text: describeDrain(resource) }))
    .exhaustive()
}

const describeDrain = (resource: ShownResource): string => {
  const { workLeft, message } = resource.status ?? {}
  const left = workLeft === undefined ? 'number of requests left unknown' : `${workLeft} requests left`
  return `${workLeft === 0 ? 'drained' : 'draining'}, ${left}${message === undefined ? '' : ` (${message})`}`
}
