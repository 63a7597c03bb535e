import type { Configuration } from './configuration.js'
import { findDrainedZones } from './findDrainedZones.js'
import type { ServiceSpec } from './resources/serviceSpec.js'

/** Finds the names of a service's targets that are drained by name, by availability zone or by region. */
export function findDrainedTargets (configuration: Configuration, service: string, spec: ServiceSpec): Set<string> {
  const zones = findDrainedZones(configuration)
  const drains = configuration.list('Drain').map((drain) => drain.spec)
  const names = new Set(drains.filter((drain) => drain.scope === 'target' && drain.service === service).map((drain) => drain.name))
  const drained = spec.targets.filter((target) => names.has(target.name) || zones.has(target.availabilityZone))
  return new Set(drained.map((target) => target.name))
}
