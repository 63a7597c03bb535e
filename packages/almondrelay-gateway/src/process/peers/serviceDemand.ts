import type { WorkTimes } from '../../request/workTimes.js'

/** Requests for one service that arrive at one host. */
export interface ServiceDemand extends WorkTimes {
  service: string
  perSecond: number
  /** Part of the service's requests that each region gets from the host. */
  parts: ReadonlyMap<string, number>
}
