import type { ServiceDemand } from './serviceDemand.js'

/** Demand for a service in a region, from one of its hosts or from all of them together. */
export interface RegionDemand {
  region: string
  demand: ServiceDemand
}
