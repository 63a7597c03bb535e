import type { DeclaredSteering } from '../version/declaredSteering.js'

interface DeclaredPlanInput {
  service: string
  ownRegion: string
  regions: readonly string[]
  /** Parts by load alone. */
  byLoad: ReadonlyMap<string, number>
  steering: DeclaredSteering
  /** Slots that the requests of the region's own callers keep busy. */
  ownBusySlots: number
}

/** Part of a cap up to which parts are planned: requests come in waves, and what meets a full cap loses its place. */
const CAP_PART = 0.8

/**
 * The parts of a region's requests for one service under what operators declared: their weights go before the load, a
 * drained region gets nothing, and what a cap doesn't bear stays at home.
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

// Where every region is drained, callers are served where they would be without the drains rather than nowhere.
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
