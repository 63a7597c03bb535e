import type { ServiceDemand } from './serviceDemand.js'

/** Demand for a service in a region, of one of its hosts or of all together. */
export interface RegionDemand {
  region: string
  demand: ServiceDemand
}
