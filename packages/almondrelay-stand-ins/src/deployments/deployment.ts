import type { DeploymentRegion } from './deploymentRegion.js'
import type { DeploymentService } from './deploymentService.js'

/** The sizes of one user's deployment. */
export interface Deployment {
  name: string
  regions: DeploymentRegion[]
  services: DeploymentService[]
  /** One-way times, in milliseconds. */
  latencyMs: { betweenAvailabilityZones: number, betweenRegions: number, client: number }
  /** Requests that one region may have running in another at once. */
  linkMaxInFlight: number
  /** Callers of the load, by name with their share of it. */
  callers: Record<string, number>
}
