import type { WorkTimes } from '../../request/workTimes.js'
import type { ServiceDemand } from './serviceDemand.js'

/** Times of work that several hosts have measured; each counts by its requests, and all alike where there are none. */
export function computeMeanTimes (demands: readonly ServiceDemand[]): WorkTimes {
  const requests = demands.reduce((sum, { perSecond }) => sum + perSecond, 0)
  const weigh = ({ perSecond }: ServiceDemand): number => requests > 0 ? perSecond / requests : 1 / demands.length
  return {
    warmMs: demands.reduce((sum, demand) => sum + demand.warmMs * weigh(demand), 0),
    coldMs: demands.reduce((sum, demand) => sum + demand.coldMs * weigh(demand), 0)
  }
}
