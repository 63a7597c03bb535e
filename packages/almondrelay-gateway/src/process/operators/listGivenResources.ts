import type { Resource } from 'almondrelay'
import type { FleetState } from '../fleet/fleetState.js'

/** Revision of a resource that no change of ours made: it is in force wherever a host serves. */
const GIVEN_REVISION = 0
/** What the platform doesn't state of a region: nothing is limited by it here. */
const UNLIMITED = 10_000_000

/**
 * Regions and services as the platform declares them, in the form of the operators' own resources, so that policies,
 * drains and caps can name them and `get` shows them.
 *
 * @param availabilityZones region of each availability zone
 */
export function listGivenResources (fleet: FleetState, availabilityZones: Readonly<Record<string, string>>): Resource[] {
  const regions = [...new Set(Object.values(availabilityZones))]
  const services = [...fleet.configuration?.services.keys() ?? []]
  return [
    ...regions.map((region): Resource => ({ kind: 'Region', name: region, revision: GIVEN_REVISION, spec: { availabilityZones: listZones(availabilityZones, region), maxInFlight: UNLIMITED, clientBlocks: [] } })),
    ...services.map((service) => describeService(fleet, service))
  ]
}

const listZones = (availabilityZones: Readonly<Record<string, string>>, region: string): string[] =>
  Object.entries(availabilityZones).filter(([, each]) => each === region).map(([zone]) => zone)

const describeService = (fleet: FleetState, name: string): Resource => {
  const connections = fleet.findService(name)?.maxConnections ?? 1
  const targets = fleet.listTargets(name).map(({ entry }) => ({ name: entry.id, address: `${entry.ip}:${entry.port}`, availabilityZone: entry.availabilityZone, slots: entry.slots, connections }))
  const { maxBodyBytes, defaultDeadlineMs } = describeLimits(fleet, name)
  return { kind: 'Service', name, revision: GIVEN_REVISION, spec: { targets, routes: [], maxBodyBytes, defaultDeadlineMs, healthPath: '/health' } }
}

const describeLimits = (fleet: FleetState, service: string): { maxBodyBytes: number, defaultDeadlineMs: number } => {
  const routes = fleet.configuration?.routes.filter(({ destinations }) => destinations.some((each) => each.service === service)) ?? []
  return {
    maxBodyBytes: fleet.configuration?.limits.maxBodyBytes ?? 0,
    defaultDeadlineMs: Math.max(0, ...routes.map(({ timeoutMs }) => timeoutMs))
  }
}
