/** Requests for one service that arrive at one host. */
export interface ServiceDemand {
  service: string
  perSecond: number
  /** Milliseconds that a target works on an object that it holds. */
  warmMs: number
  /** Part of the service's requests that each region gets from the host. */
  parts: ReadonlyMap<string, number>
}
