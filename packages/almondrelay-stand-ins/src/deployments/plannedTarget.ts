import type { DeploymentService } from './deploymentService.js'

/** A target with its place, before it has an address. */
export interface PlannedTarget {
  name: string
  service: DeploymentService
  availabilityZone: string
  region: string
}
