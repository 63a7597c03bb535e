import type { HostEntry } from '../fleet/hostEntry.js'
import type { RegionDemand } from '../peers/regionDemand.js'

/** Part of all slots that is taken to be busy before any request was counted. */
const GUESSED_USE = 0.55

/**
 * Demand for a service before any was measured: in proportion to the hosts of each region, as operators place hosts
 * where callers are. A first plan from it keeps the keys of a small region from all being worked on there, held by
 * none for want of memory, in the first seconds and after every host has restarted at once.
 */
export function estimateFirstDemands (service: string, hosts: readonly HostEntry[], slots: number): RegionDemand[] {
  const perHost = slots * GUESSED_USE / Math.max(1, hosts.length)
  return hosts.map(({ region }) => ({ region, demand: { service, perSecond: perHost, warmMs: 1_000, coldMs: 1_000, parts: new Map() } }))
}
