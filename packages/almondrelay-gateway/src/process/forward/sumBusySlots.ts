import type { RegionDemand } from '../peers/regionDemand.js'

const MS_PER_SECOND = 1_000

/** Returns the number of slots that the requests of a region's callers keep busy on average. */
export function sumBusySlots (demands: readonly RegionDemand[], region: string): number {
  return demands
    .filter((each) => each.region === region)
    .reduce((sum, { demand }) => sum + demand.perSecond * demand.warmMs / MS_PER_SECOND, 0)
}
