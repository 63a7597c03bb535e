import type { Configuration } from './configuration.js'

/** Finds the availability zones that are drained themselves or by a drain of their region. */
export function findDrainedZones (configuration: Configuration): Set<string> {
  const drains = configuration.list('Drain').map((drain) => drain.spec)
  const zones = drains.filter((drain) => drain.scope === 'availabilityZone').map((drain) => drain.name)
  const regions = drains.filter((drain) => drain.scope === 'region')
  return new Set([...zones, ...regions.flatMap((drain) => configuration.get('Region', drain.name)?.spec.availabilityZones ?? [])])
}
