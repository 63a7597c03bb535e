import type { Deployment } from '../deployments/deployment.js'
import { findFreeAddresses } from '../network/findFreeAddresses.js'
import type { HostPlan } from './hostPlan.js'

const PORTS_A_HOST = 3

/** The entry hosts of a deployment, named `<zone>-<number>`, with free addresses. */
export async function planHosts (deployment: Deployment): Promise<HostPlan[]> {
  const places = deployment.regions.flatMap((region) => region.availabilityZones.flatMap((zone) => {
    return Array.from({ length: zone.hosts }, (_, index) => ({ name: `${zone.name}-${index + 1}`, region: region.name, availabilityZone: zone.name }))
  }))
  const addresses = await findFreeAddresses(places.length * PORTS_A_HOST)
  return places.map((place, index) => {
    const [caller = '', peer = '', operator = ''] = addresses.slice(index * PORTS_A_HOST)
    return { ...place, caller, peer, operator }
  })
}
