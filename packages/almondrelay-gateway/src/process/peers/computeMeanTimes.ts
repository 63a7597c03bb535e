import type { WorkTimes } from '../../request/workTimes.js'
import type { ServiceDemand } from './serviceDemand.js'

/** Computes the mean of the work times measured by several hosts, weighted by their request rates, or unweighted without requests. */
export function computeMeanTimes (demands: readonly ServiceDemand[]): WorkTimes {
  const requests = demands.reduce((sum, { perSecond }) => sum + perSecond, 0)
  const computeWeight = ({ perSecond }: ServiceDemand): number => requests > 0 ? perSecond / requests : 1 / demands.length
  return {
    warmMs: demands.reduce((sum, demand) => sum + demand.warmMs * computeWeight(demand), 0),
    coldMs: demands.reduce((sum, demand) => sum + demand.coldMs * computeWeight(demand), 0)
  }
}
