import type { Deployment } from './deployment.js'

/** The same regions and zones with one entry host and one target of each service a zone. */
export function withSmallestSizes (deployment: Deployment): Deployment {
  const zones = deployment.regions.flatMap((region) => region.availabilityZones).length
  return {
    ...deployment,
    regions: deployment.regions.map((region) => ({
      ...region,
      availabilityZones: region.availabilityZones.map((zone) => ({ ...zone, hosts: 1 }))
    })),
    services: deployment.services.map((service) => ({ ...service, targets: zones }))
  }
}
