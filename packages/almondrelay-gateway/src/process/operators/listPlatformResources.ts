import type { Resource } from 'almondrelay'
import type { FleetState } from '../fleet/fleetState.js'

/** Revision of resources that the platform declares: no change of an operator made them, and they are in force on every host. */
const PLATFORM_REVISION = 0
/** The platform states no limit on the requests in flight of a region, so this value limits nothing. */
const UNLIMITED_REQUESTS = 10_000_000

/**
 * Returns the regions and services that the platform declares, in the form of operators' resources, so that policies,
 * drains and caps can refer to them and `get` shows them.
 *
 * @param availabilityZones region of each availability zone
 */
export function listPlatformResources (fleet: FleetState, availabilityZones: Readonly<Record<string, string>>): Resource[] {
  const regions = [...new Set(Object.values(availabilityZones))]
  const services = [...fleet.configuration?.services.keys() ?? []]
  return [
    ...regions.map((region): Resource => ({ kind: 'Region', name: region, revision: PLATFORM_REVISION, spec: { availabilityZones: listZones(availabilityZones, region), maxInFlight: UNLIMITED_REQUESTS, clientBlocks: [] } })),
    ...services.map((service) => describeService(fleet, service))
  ]
}

const listZones = (availabilityZones: Readonly<Record<string, string>>, region: string): string[] =>
  Object.entries(availabilityZones).filter(([, each]) => each === region).map(([zone]) => zone)

const describeService = (fleet: FleetState, name: string): Resource => {
  const connections = fleet.findService(name)?.maxConnections ?? 1
  const targets = fleet.listTargets(name).map(({ entry }) => ({ name: entry.id, address: `${entry.ip}:${entry.port}`, availabilityZone: entry.availabilityZone, slots: entry.slots, connections }))
  const { maxBodyBytes, defaultDeadlineMs } = describeLimits(fleet, name)
  return { kind: 'Service', name, revision: PLATFORM_REVISION, spec: { targets, routes: [], maxBodyBytes, defaultDeadlineMs, healthPath: '/health' } }
}

const describeLimits = (fleet: FleetState, service: string): { maxBodyBytes: number, defaultDeadlineMs: number } => {
  const routes = fleet.configuration?.routes.filter(({ destinations }) => destinations.some((each) => each.service === service)) ?? []
  return {
    maxBodyBytes: fleet.configuration?.limits.maxBodyBytes ?? 0,
    defaultDeadlineMs: Math.max(0, ...routes.map(({ timeoutMs }) => timeoutMs))
  }
}
