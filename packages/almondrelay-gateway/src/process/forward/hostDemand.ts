import type { ServiceDemand } from '../peers/serviceDemand.js'

/** Demand for a service as one host reports it. */
export interface HostDemand {
  region: string
  demand: ServiceDemand
}
