import { sleepFor } from 'almondrelay'
import type { PeerView } from '../peers/peerView.js'
import type { ForwardState } from './forwardState.js'
import { estimateInitialDemands } from './estimateInitialDemands.js'
import { computeMeanTimes } from '../peers/computeMeanTimes.js'
import type { RegionDemand } from '../peers/regionDemand.js'
import { planDeclaredShares } from '../../request/planDeclaredShares.js'
import { planRegionShares } from './planRegionShares.js'
import type { ServiceRuntime } from './serviceRuntime.js'
import { sumBusySlots } from './sumBusySlots.js'

/** Milliseconds between two updates of the shares; peers report their demand once a second. */
const PLAN_INTERVAL_MS = 500

interface PlannerParts {
  ownRegion: string
  regions: readonly string[]
  forward: ForwardState
  view: PeerView
  getNow: () => number
}

/** Moves the regions' shares of each service's requests as demand and targets change. */
export class RegionPlanner {
  constructor (private readonly parts: PlannerParts) {}

  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleepFor(PLAN_INTERVAL_MS, signal)
      this.updateAll(this.parts.getNow())
    }
  }

  /** Sets the first shares of a service: those of a peer in the same region or, without one, a plan from estimated demand. */
  start (runtime: ServiceRuntime, now: number): void {
    const { ownRegion, view, forward } = this.parts
    const peer = view.listDemands(now).find((each) => each.demand.service === runtime.name && each.region === ownRegion && each.demand.parts.size > 0)
    if (peer !== undefined) {
      // A host that joins a running region adopts the shares of its peers: a plan from scratch would undo for its own callers what
      // the region has moved so far.
      runtime.regionShares.adopt(peer.demand.parts, now)
      return
    }
    const slots = forward.fleet.listTargets(runtime.name).reduce((sum, target) => sum + target.entry.slots, 0)
    runtime.regionShares.adopt(this.plan(runtime, estimateInitialDemands(runtime.name, view.listLive(now), slots), now), now)
  }

  private updateAll (now: number): void {
    const { ownRegion, forward, view } = this.parts
    const demands = splitByService(view.listDemands(now))
    for (const runtime of forward.listRuntimes()) {
      const peerDemands = demands.get(runtime.name) ?? []
      const ownRegionDemands = peerDemands.filter(({ region, demand }) => region === ownRegion && demand.perSecond > 0).map(({ demand }) => demand)
      if (ownRegionDemands.length > 0) runtime.times.receiveRegionTimes(computeMeanTimes(ownRegionDemands))
      const ownDemand = { region: ownRegion, demand: runtime.describeDemand(now) }
      const plan = this.plan(runtime, [ownDemand, ...peerDemands], now)
      runtime.regionShares.moveTowards(plan, now)
    }
  }

  private plan (runtime: ServiceRuntime, demands: readonly RegionDemand[], now: number): Map<string, number> {
    const { ownRegion, regions, forward } = this.parts
    const { fleet, steering } = forward
    const targets = fleet.listTargets(runtime.name).filter(({ entry }) => !fleet.isEvacuated(entry.availabilityZone) && !steering.isDrained(entry) && !steering.isRegionDrained(entry.region))
    const roundTripMs = Math.min(...regions.filter((region) => region !== ownRegion).map((region) => forward.roundTripTimes.find(region)))
    const current = runtime.regionShares.hasPlan ? runtime.regionShares.getShares() : undefined
    const byLoad = planRegionShares({ ownRegion, regions, demands, targets, roundTripMs, current }, now)
    const ownBusySlots = sumBusySlots(demands, ownRegion)
    return planDeclaredShares({ service: runtime.name, ownRegion, regions, sharesByLoad: byLoad, steering, ownBusySlots })
  }
}

const splitByService = (demands: readonly RegionDemand[]): Map<string, RegionDemand[]> => {
  const groups = new Map<string, RegionDemand[]>()
  for (const each of demands) {
    const group = groups.get(each.demand.service)
    if (group === undefined) groups.set(each.demand.service, [each])
    else group.push(each)
  }
  return groups
}
