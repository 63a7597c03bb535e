import type { DeclaredSteering } from '../version/declaredSteering.js'

interface DeclaredPlanInput {
  service: string
  ownRegion: string
  regions: readonly string[]
  /** Shares by load alone. */
  sharesByLoad: ReadonlyMap<string, number>
  steering: DeclaredSteering
  /** Slots that the requests of the region's own callers keep busy. */
  ownBusySlots: number
}

/**
 * Share of a cap that planned shares may fill: requests come in waves, and a request that meets a full cap can't run in the
 * region that is planned for its key.
 */
const PLANNED_CAP_SHARE = 0.8

/**
 * Computes the shares of a region's requests for one service under what operators declared: their weights take precedence over
 * the load, a drained region gets nothing, and what exceeds a cap stays in the region.
 */
export function planDeclaredShares ({ service, ownRegion, regions, sharesByLoad, steering, ownBusySlots }: DeclaredPlanInput): Map<string, number> {
  const declared = steering.findWeights(service)
  const weights = declared === undefined ? sharesByLoad : new Map(Object.entries(declared.weights))
  const shares = normalizeWeights(listUndrainedWeights(weights, regions, steering))
  if (steering.caps.length === 0 || ownBusySlots <= 0) return shares
  let keptShare = 0
  for (const [region, share] of shares) {
    if (region === ownRegion) continue
    const maxShare = Math.min(...steering.listCaps(service, region).map((cap) => cap.maxInFlight)) * PLANNED_CAP_SHARE / ownBusySlots
    const plannedShare = Math.min(share, maxShare)
    keptShare += share - plannedShare
    shares.set(region, plannedShare)
  }
  if (keptShare > 0) shares.set(ownRegion, (shares.get(ownRegion) ?? 0) + keptShare)
  return shares
}

// Where the weighted regions are all drained, the other regions that aren't drained share the requests equally. Where every
// region is drained, callers are served as they would be without the drains rather than not at all.
const listUndrainedWeights = (weights: ReadonlyMap<string, number>, regions: readonly string[], steering: DeclaredSteering): Array<readonly [string, number]> => {
  const undrained = [...weights].filter(([region, weight]) => weight > 0 && !steering.isRegionDrained(region))
  if (undrained.length > 0) return undrained
  const undrainedRegions = regions.filter((region) => !steering.isRegionDrained(region)).map((region) => [region, 1] as const)
  return undrainedRegions.length > 0 ? undrainedRegions : [...weights]
}

const normalizeWeights = (weights: ReadonlyArray<readonly [string, number]>): Map<string, number> => {
  const total = weights.reduce((sum, [, weight]) => sum + weight, 0)
  return new Map(weights.map(([region, weight]) => [region, total > 0 ? weight / total : 0]))
}
