import type { RegionLoad } from './regionLoad.js'

/**
 * Share of a region's slots that may be busy before requests are planned to run in other regions, where those are far away and
 * the work is on cached objects.
 */
const FAR_MAX_USAGE = 0.55
/**
 * The same where the round trip is negligible beside the work. The load of a region whose targets have some keys each is uneven:
 * with half of all slots busy, a target with twice the mean number of keys is full, while the round trip would make its callers
 * wait only a twentieth longer.
 */
const NEAR_MAX_USAGE = 0.3
/** Round-trip time, as a ratio to the work on a cached object, from which on a region counts as far away. */
const FAR_ROUND_TRIP_RATIO = 0.25
/** Where all regions are busy, each is filled up to this multiple of their mean slot usage. */
const MEAN_USAGE_FACTOR = 1.1

/** Current shares are kept for as long as they exceed no region's maximum slot usage by more than this factor. */
const TOLERATED_EXCESS_FACTOR = 1.15

interface PlanInput {
  ownRegion: string
  loads: readonly RegionLoad[]
  /** Round-trip time to the nearest other region, as a ratio to the work on a cached object. */
  roundTripRatio: number
  /** The shares in force; undefined before the first plan. */
  currentShares: ReadonlyMap<string, number> | undefined
}

/**
 * Computes which share of one region's requests each region should serve, by load alone.
 *
 * In a region with more callers than its own targets can serve, queues would grow without end while other regions, some
 * milliseconds away, have free slots. The excess is divided among the regions with room, in proportion to their room; where none
 * has any, it stays.
 *
 * Where the round trip is short, current shares are kept as long as the regions can bear them: a key that moves home saves a
 * round trip, but its object is worked on from scratch, which takes far longer.
 */
export function computeRegionShares ({ ownRegion, loads, roundTripRatio, currentShares }: PlanInput): Map<string, number> {
  const slots = loads.reduce((sum, each) => sum + each.slots, 0)
  const busy = loads.reduce((sum, each) => sum + each.busySlots, 0)
  const distanceUsage = NEAR_MAX_USAGE + (FAR_MAX_USAGE - NEAR_MAX_USAGE) * Math.min(1, roundTripRatio / FAR_ROUND_TRIP_RATIO)
  const maxUsage = Math.max(distanceUsage, slots > 0 ? busy / slots * MEAN_USAGE_FACTOR : 0)
  const home = loads.find((each) => each.region === ownRegion)
  if (home === undefined || home.busySlots <= 0) return new Map([[ownRegion, 1]])
  if (currentShares !== undefined && roundTripRatio < FAR_ROUND_TRIP_RATIO && isWithinCapacity(home, loads, currentShares, maxUsage)) return new Map(currentShares)
  const ownShare = Math.min(1, maxUsage * home.slots / home.busySlots)
  const rooms = loads
    .filter((each) => each.region !== ownRegion)
    .map((each) => ({ region: each.region, room: Math.max(0, maxUsage * each.slots - each.busySlots) }))
  const room = rooms.reduce((sum, each) => sum + each.room, 0)
  if (room <= 0) return new Map([[ownRegion, 1]])
  return new Map([[ownRegion, ownShare], ...rooms.map((each): [string, number] => [each.region, (1 - ownShare) * each.room / room])])
}

/**
 * Whether no region's maximum slot usage is exceeded by more than is tolerated while these shares of the home region's requests
 * run there.
 */
const isWithinCapacity = (home: RegionLoad, loads: readonly RegionLoad[], shares: ReadonlyMap<string, number>, maxUsage: number): boolean => loads.every((each) => {
  const share = shares.get(each.region) ?? 0
  if (share === 0) return true
  const otherBusySlots = each === home ? 0 : each.busySlots
  return otherBusySlots + share * home.busySlots <= maxUsage * TOLERATED_EXCESS_FACTOR * each.slots
})
