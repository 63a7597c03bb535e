import type { HostEntry } from '../fleet/hostEntry.js'
import type { RegionDemand } from '../peers/regionDemand.js'

/** Share of all slots that is assumed to be busy before any request was counted. */
const ASSUMED_USAGE = 0.55

/**
 * Estimates the demand for a service before any was measured: in proportion to the hosts of each region, because operators place
 * hosts where callers are. A first plan from this estimate keeps a small region, in the first seconds and after a restart of all
 * hosts, from working on all keys of its callers itself: its targets lack the memory for that, so no object would stay cached.
 */
export function estimateInitialDemands (service: string, hosts: readonly HostEntry[], slots: number): RegionDemand[] {
  const perHost = slots * ASSUMED_USAGE / Math.max(1, hosts.length)
  return hosts.map(({ region }) => ({ region, demand: { service, perSecond: perHost, warmMs: 1_000, coldMs: 1_000, parts: new Map() } }))
}
