import { computeRegionParts } from '../../request/computeRegionParts.js'
import type { RegionLoad } from '../../request/regionLoad.js'
import type { TargetState } from '../../request/targetState.js'
import { computeMeanTimes } from '../peers/computeMeanTimes.js'
import type { RegionDemand } from '../peers/regionDemand.js'
import { sumBusySlots } from './sumBusySlots.js'

interface PlanParts {
  ownRegion: string
  regions: readonly string[]
  demands: readonly RegionDemand[]
  targets: readonly TargetState[]
  /** Milliseconds to the nearest other region and back. */
  tripMs: number
  /** The parts in force; undefined before the first plan. */
  current: ReadonlyMap<string, number> | undefined
}

/** The parts of a region's requests for one service by what all hosts report and which targets there are. */
export function planRegionParts ({ ownRegion, regions, demands, targets, tripMs, current }: PlanParts, now: number): Map<string, number> {
  const loads = regions.map((region): RegionLoad => ({
    region,
    slots: sumSlots(targets, region, now),
    busySlots: sumBusySlots(demands, region)
  }))
  const near = demands.filter(({ region }) => region === ownRegion).map(({ demand }) => demand)
  const { warmMs } = computeMeanTimes(near)
  return computeRegionParts({ own: ownRegion, loads, tripPart: warmMs > 0 ? tripMs / warmMs : Infinity, current })
}

// Nothing is sent to a target that is suspended, and one that works four times slower has room for a quarter.
const sumSlots = (targets: readonly TargetState[], region: string, now: number): number => targets
  .filter((target) => target.entry.region === region && !target.isLeaving() && !target.isSuspended(now))
  .reduce((sum, target) => sum + target.entry.slots / Math.max(1, target.getSpeedRatio(now)) * (1 - target.getFailureShare(now)), 0)
