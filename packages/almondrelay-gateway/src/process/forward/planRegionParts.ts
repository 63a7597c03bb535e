import { computeRegionParts } from '../../request/computeRegionParts.js'
import type { RegionLoad } from '../../request/regionLoad.js'
import type { TargetState } from '../../request/targetState.js'
import { computeMeanTimes } from '../peers/computeMeanTimes.js'
import type { RegionDemand } from '../peers/regionDemand.js'
import { sumBusySlots } from './sumBusySlots.js'

/**
 * The parts of a region's requests for one service by what all hosts report and which targets there are.
 *
 * @param tripMs milliseconds to the nearest other region and back
 */
export function planRegionParts (ownRegion: string, regions: readonly string[], demands: readonly RegionDemand[], targets: readonly TargetState[], tripMs: number, now: number): Map<string, number> {
  const loads = regions.map((region): RegionLoad => ({
    region,
    slots: sumSlots(targets, region, now),
    busySlots: sumBusySlots(demands, region)
  }))
  const near = demands.filter(({ region }) => region === ownRegion).map(({ demand }) => demand)
  const { warmMs } = computeMeanTimes(near)
  return computeRegionParts(ownRegion, loads, warmMs > 0 ? tripMs / warmMs : Infinity)
}

// Nothing is sent to a target that is suspended, and one that works four times slower has room for a quarter.
const sumSlots = (targets: readonly TargetState[], region: string, now: number): number => targets
  .filter((target) => target.entry.region === region && !target.isLeaving() && !target.isSuspended(now))
  .reduce((sum, target) => sum + target.entry.slots / Math.max(1, target.getSpeedRatio(now)) * (1 - target.getFailureShare(now)), 0)
