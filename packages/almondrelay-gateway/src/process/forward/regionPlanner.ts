import { sleepFor } from '../sleepFor.js'
import type { PeerView } from '../peers/peerView.js'
import type { ForwardState } from './forwardState.js'
import { planRegionParts } from './planRegionParts.js'
import type { ServiceRuntime } from './serviceRuntime.js'

/** Milliseconds between steps; demands of peers come once a second. */
const STEP_MS = 250
/** Milliseconds after which a peer's demand isn't counted any more. */
const DEMAND_MAX_AGE_MS = 3_000

interface PlannerParts {
  ownRegion: string
  regions: readonly string[]
  forward: ForwardState
  view: PeerView
  getNow: () => number
}

/** Moves the parts of each service's requests among regions as demand and targets change. */
export class RegionPlanner {
  constructor (private readonly parts: PlannerParts) {}

  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleepFor(STEP_MS, signal)
      for (const runtime of this.parts.forward.listRuntimes()) this.advance(runtime, this.parts.getNow())
    }
  }

  private advance (runtime: ServiceRuntime, now: number): void {
    const { ownRegion, regions, forward, view } = this.parts
    const own = { region: ownRegion, demand: runtime.describeDemand(now) }
    const reports = view.listReports(now, DEMAND_MAX_AGE_MS)
    const heard = reports.flatMap((report) => report.demands.filter((each) => each.service === runtime.name).map((demand) => ({ region: report.region, demand })))
    if (!runtime.regionParts.isPlanned) {
      // A host that starts in the middle of a day goes on where the others of its region are: a start from nothing would swing its callers back.
      const peer = heard.find((each) => each.region === ownRegion && each.demand.parts.size > 0)
      if (peer !== undefined) runtime.regionParts.adopt(peer.demand.parts, now)
    }
    const targets = forward.fleet.listTargets(runtime.name).filter((target) => !forward.fleet.isEvacuated(target.entry.availabilityZone))
    runtime.regionParts.moveTowards(planRegionParts(ownRegion, regions, [own, ...heard], targets, now), now)
  }
}
