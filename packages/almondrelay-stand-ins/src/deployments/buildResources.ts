import { ResourceKind } from 'almondrelay'
import type { Deployment } from './deployment.js'
import type { DeclaredResource } from './declaredResource.js'
import { planTargets } from './planTargets.js'

/**
 * The resources of a deployment, in the order in which they can be written. `addresses` holds
 * the address of each target by name. A region may run what its targets' slots allow.
 */
export function buildResources (deployment: Deployment, addresses: ReadonlyMap<string, string>): DeclaredResource[] {
  return [
    ...buildRegions(deployment),
    ...buildLinks(deployment),
    ...buildServices(deployment, addresses),
    ...buildPolicies(deployment)
  ]
}

function buildRegions (deployment: Deployment): DeclaredResource[] {
  const targets = planTargets(deployment)
  return deployment.regions.map((region) => {
    const slots = targets.filter((target) => target.region === region.name).map((target) => target.service.slots)
    return {
      kind: ResourceKind.region,
      name: region.name,
      spec: {
        availabilityZones: region.availabilityZones.map((zone) => zone.name),
        maxInFlight: slots.reduce((sum, each) => sum + each, 0),
        clientBlocks: [region.clientBlock]
      }
    }
  })
}

function buildLinks (deployment: Deployment): DeclaredResource[] {
  const names = deployment.regions.map((region) => region.name)
  const pairs = names.flatMap((from) => names.filter((to) => to !== from).map((to) => ({ from, to })))
  return pairs.map(({ from, to }) => ({
    kind: ResourceKind.link,
    name: `${from}-${to}`,
    spec: { from, to, latencyMs: deployment.latencyMs.betweenRegions, maxInFlight: deployment.linkMaxInFlight }
  }))
}

function buildServices (deployment: Deployment, addresses: ReadonlyMap<string, string>): DeclaredResource[] {
  const targets = planTargets(deployment)
  return deployment.services.map((service) => ({
    kind: ResourceKind.service,
    name: service.name,
    spec: {
      targets: targets.filter((target) => target.service === service).map((target) => ({
        name: target.name,
        address: requireAddress(addresses, target.name),
        availabilityZone: target.availabilityZone,
        slots: service.slots,
        connections: service.connections
      }))
    }
  }))
}

function buildPolicies (deployment: Deployment): DeclaredResource[] {
  return deployment.services.flatMap((service) => deployment.regions.map((region) => ({
    kind: ResourceKind.steeringPolicy,
    name: `${service.name}-${region.name}`,
    spec: { service: service.name, from: region.name, weights: { [region.name]: 1 }, spill: true }
  })))
}

function requireAddress (addresses: ReadonlyMap<string, string>, name: string): string {
  const address = addresses.get(name)
  if (address === undefined) throw new Error(`target ${name} has no address: start it first`)
  return address
}
