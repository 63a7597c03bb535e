import type { Deployment } from './deployment.js'
import type { PlannedTarget } from './plannedTarget.js'

/** Every target with its availability zone: a service's targets are dealt out zone by zone. */
export function planTargets (deployment: Deployment): PlannedTarget[] {
  const zones = deployment.regions.flatMap((region) => region.availabilityZones.map((zone) => ({ region: region.name, name: zone.name })))
  return deployment.services.flatMap((service) => Array.from({ length: service.targets }, (_, index) => {
    const zone = zones[index % zones.length]
    if (zone === undefined) throw new Error(`deployment ${deployment.name} has no availability zone: give it one`)
    const name = `${service.name}-${zone.name}-${Math.floor(index / zones.length) + 1}`
    return { name, service, availabilityZone: zone.name, region: zone.region }
  }))
}
