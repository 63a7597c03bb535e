import type { RegionLoad } from './regionLoad.js'

/** Part of a region's slots that may be busy with warm work before requests are planned to go elsewhere, where that is far. */
const COMFORTABLE_USE = 0.55
/**
 * The same where the trip is nothing beside the work. A region whose targets have some keys each is uneven: at half of
 * all slots busy, the target with twice the mean of keys is full, while the trip would cost its callers a twentieth.
 */
const NEAR_USE = 0.3
/** Part of the work that the trip is, from which on it counts as far. */
const FAR_TRIP_PART = 0.25
/** Room above the mean use of all regions up to which each is filled when all are busy. */
const USE_ABOVE_MEAN = 1.1

/** Part of the use up to which regions are filled by which parts in force may pass it before they are changed. */
const BEARABLE_EXCESS = 1.15

interface PlanInput {
  own: string
  loads: readonly RegionLoad[]
  /** The trip to the nearest other region and back, as a part of the work on an object that is held. */
  tripPart: number
  /** The parts in force; undefined before the first plan. */
  current: ReadonlyMap<string, number> | undefined
}

/**
 * The part of one region's requests that each region should serve, by load alone.
 *
 * Answers a region with more callers than its own targets bear: its queue grows without end while other
 * regions, a trip of some milliseconds away, have slots free. What doesn't fit is divided among the regions
 * with room, by their room; where none has any, it stays.
 *
 * Where the trip is short, parts that can be borne stay: a key that moves home saves a trip and is worked on anew, which takes
 * far longer.
 */
export function computeRegionParts ({ own, loads, tripPart, current }: PlanInput): Map<string, number> {
  const slots = loads.reduce((sum, each) => sum + each.slots, 0)
  const busy = loads.reduce((sum, each) => sum + each.busySlots, 0)
  const comfortableUse = NEAR_USE + (COMFORTABLE_USE - NEAR_USE) * Math.min(1, tripPart / FAR_TRIP_PART)
  const use = Math.max(comfortableUse, slots > 0 ? busy / slots * USE_ABOVE_MEAN : 0)
  const home = loads.find((each) => each.region === own)
  if (home === undefined || home.busySlots <= 0) return new Map([[own, 1]])
  if (current !== undefined && tripPart < FAR_TRIP_PART && isBearable(home, loads, current, use)) return new Map(current)
  const ownPart = Math.min(1, use * home.slots / home.busySlots)
  const rooms = loads
    .filter((each) => each.region !== own)
    .map((each) => ({ region: each.region, room: Math.max(0, use * each.slots - each.busySlots) }))
  const room = rooms.reduce((sum, each) => sum + each.room, 0)
  if (room <= 0) return new Map([[own, 1]])
  return new Map([[own, ownPart], ...rooms.map((each): [string, number] => [each.region, (1 - ownPart) * each.room / room])])
}

/** Whether no region is filled beyond the use that is aimed at while these parts of the home region's requests run there. */
const isBearable = (home: RegionLoad, loads: readonly RegionLoad[], parts: ReadonlyMap<string, number>, use: number): boolean => loads.every((each) => {
  const part = parts.get(each.region) ?? 0
  if (part === 0) return true
  const others = each === home ? 0 : each.busySlots
  return others + part * home.busySlots <= use * BEARABLE_EXCESS * each.slots
})
