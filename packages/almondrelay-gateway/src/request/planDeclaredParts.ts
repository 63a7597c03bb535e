import type { DeclaredSteering } from '../version/declaredSteering.js'

interface DeclaredPlanInput {
  service: string
  ownRegion: string
  regions: readonly string[]
  /** Shares by load alone. */
  byLoad: ReadonlyMap<string, number>
  steering: DeclaredSteering
  /** Slots that the requests of the region's own callers keep busy. */
  ownBusySlots: number
}

/**
 * Share of a cap that planned shares may fill: requests come in waves, and a request that meets a full cap can't run in the
 * region that is planned for its key.
 */
const CAP_PART = 0.8

/**
 * Computes the shares of a region's requests for one service under what operators declared: their weights take precedence over
 * the load, a drained region gets nothing, and what exceeds a cap stays in the region.
 */
export function planDeclaredParts ({ service, ownRegion, regions, byLoad, steering, ownBusySlots }: DeclaredPlanInput): Map<string, number> {
  const declared = steering.findWeights(service)
  const wanted = declared === undefined ? byLoad : new Map(Object.entries(declared.weights))
  const parts = normalizeParts(listOpenWeights(wanted, regions, steering))
  if (steering.caps.length === 0 || ownBusySlots <= 0) return parts
  let kept = 0
  for (const [region, part] of parts) {
    if (region === ownRegion) continue
    const room = Math.min(...steering.listCaps(service, region).map((cap) => cap.maxInFlight)) * CAP_PART / ownBusySlots
    const allowed = Math.min(part, room)
    kept += part - allowed
    parts.set(region, allowed)
  }
  if (kept > 0) parts.set(ownRegion, (parts.get(ownRegion) ?? 0) + kept)
  return parts
}

// Where the weighted regions are all drained, the other regions that aren't drained share the requests equally. Where every
// region is drained, callers are served as they would be without the drains rather than not at all.
const listOpenWeights = (wanted: ReadonlyMap<string, number>, regions: readonly string[], steering: DeclaredSteering): Array<readonly [string, number]> => {
  const open = [...wanted].filter(([region, weight]) => weight > 0 && !steering.isRegionDrained(region))
  if (open.length > 0) return open
  const others = regions.filter((region) => !steering.isRegionDrained(region)).map((region) => [region, 1] as const)
  return others.length > 0 ? others : [...wanted]
}

const normalizeParts = (weights: ReadonlyArray<readonly [string, number]>): Map<string, number> => {
  const total = weights.reduce((sum, [, weight]) => sum + weight, 0)
  return new Map(weights.map(([region, weight]) => [region, total > 0 ? weight / total : 0]))
}
