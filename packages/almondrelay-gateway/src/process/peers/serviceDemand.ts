import type { WorkTimes } from '../../request/workTimes.js'

/** Demand for one service: rate and work times of the requests that arrive at one host, or at several hosts together. */
export interface ServiceDemand extends WorkTimes {
  service: string
  perSecond: number
  /** Share of the service's requests that the host sends to each region. */
  parts: ReadonlyMap<string, number>
}
