import { computeRegionShares } from '../../request/computeRegionShares.js'
import type { RegionLoad } from '../../request/regionLoad.js'
import type { TargetState } from '../../request/targetState.js'
import { computeMeanTimes } from '../peers/computeMeanTimes.js'
import type { RegionDemand } from '../peers/regionDemand.js'
import { sumBusySlots } from './sumBusySlots.js'

interface RegionPlanInput {
  ownRegion: string
  regions: readonly string[]
  demands: readonly RegionDemand[]
  targets: readonly TargetState[]
  /** Round-trip time to the nearest other region in milliseconds. */
  roundTripMs: number
  /** Shares in force; undefined before the first plan. */
  current: ReadonlyMap<string, number> | undefined
}

/** Plans the share of a region's requests for one service that each region gets, from the demand that hosts report and the targets. */
export function planRegionShares ({ ownRegion, regions, demands, targets, roundTripMs, current }: RegionPlanInput, now: number): Map<string, number> {
  const loads = regions.map((region): RegionLoad => ({
    region,
    slots: sumAvailableSlots(targets, region, now),
    busySlots: sumBusySlots(demands, region)
  }))
  const ownRegionDemands = demands.filter(({ region }) => region === ownRegion).map(({ demand }) => demand)
  const { warmMs } = computeMeanTimes(ownRegionDemands)
  return computeRegionShares({ ownRegion, loads, roundTripRatio: warmMs > 0 ? roundTripMs / warmMs : Infinity, currentShares: current })
}

// Suspended targets get no requests, and a target that is four times slower than expected counts with a quarter of its slots.
const sumAvailableSlots = (targets: readonly TargetState[], region: string, now: number): number => targets
  .filter((target) => target.entry.region === region && !target.isLeaving() && !target.isSuspended(now))
  .reduce((sum, target) => sum + target.entry.slots / Math.max(1, target.getSlowness(now)) * (1 - target.getFailureShare(now)), 0)
