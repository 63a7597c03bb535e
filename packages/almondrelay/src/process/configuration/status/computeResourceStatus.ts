import { match } from 'ts-pattern'
import type { Resource } from '../../../version/resources/resource.js'
import type { ResourceStatus } from './resourceStatus.js'
import type { StatusHooks } from './statusHooks.js'
import type { ZoneStatus } from './zoneStatus.js'

type Figures = Pick<ResourceStatus, 'workLeft' | 'carried' | 'limit'>

/** Computes the status of a resource from the status of every zone. */
export function computeResourceStatus (resource: Resource, zones: readonly ZoneStatus[], hooks: StatusHooks): ResourceStatus {
  const inForce = zones.map(({ availabilityZone, revision }) => {
    const zone = { availabilityZone, isInForce: revision !== undefined && revision >= resource.revision }
    return revision === undefined ? zone : { ...zone, revision }
  })
  const lagging = zones.flatMap((zone) => zone.laggingHosts).filter((host) => host.revision < resource.revision)
  const unreachableHosts = zones.flatMap((zone) => zone.unreachableHosts)
  return {
    isInForce: inForce.every((zone) => zone.isInForce) && unreachableHosts.length === 0,
    zones: inForce,
    laggingHosts: lagging.map((host) => host.host),
    unreachableHosts,
    ...computeFigures(resource, hooks)
  }
}

function computeFigures (resource: Resource, hooks: StatusHooks): Figures {
  return match(resource)
    .with({ kind: 'Drain' }, (drain) => {
      const workLeft = hooks.countWorkLeft(drain)
      return workLeft === undefined ? {} : { workLeft }
    })
    .with({ kind: 'Region' }, { kind: 'Link' }, { kind: 'ShiftCap' }, (limited) => {
      const carried = hooks.countCarried(limited)
      const limit = limited.spec.maxInFlight
      return carried === undefined ? { limit } : { carried, limit }
    })
    .with({ kind: 'Service' }, { kind: 'SteeringPolicy' }, () => ({}))
    .exhaustive()
}
