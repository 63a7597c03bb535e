import { SpillAllowance } from '../../request/spillAllowance.js'
import { putBounded } from '../../request/putBounded.js'
import { RegionShares } from '../../request/regionShares.js'
import { RetryAllowance } from '../../request/retryAllowance.js'
import { SecondPlaces } from '../../request/secondPlaces.js'
import { ServiceTimes } from '../../request/serviceTimes.js'
import { SlidingWindowCounter } from '../../request/slidingWindowCounter.js'
import type { ServiceDemand } from '../peers/serviceDemand.js'
import type { GatewaySettings } from '../settings/gatewaySettings.js'

/** Window in milliseconds over which the request rate is counted. */
const DEMAND_WINDOW_MS = 2_000
/** Latency target, in milliseconds, from which the times of a service without requests are estimated. */
const DEFAULT_LATENCY_TARGET_MS = 250
/** Maximum number of routes whose times are kept; the route that was added first is dropped. */
const MAX_ROUTES = 200

/** State of one service on this host, kept for as long as the process runs. */
export class ServiceRuntime {
  /** Times over all routes to the service. */
  readonly times = new ServiceTimes()
  readonly places = new SecondPlaces()
  readonly retryAllowance: RetryAllowance
  readonly regionShares: RegionShares
  readonly spillAllowance: SpillAllowance
  private readonly arrivals = new SlidingWindowCounter(DEMAND_WINDOW_MS)
  private readonly routeTimes = new Map<string, ServiceTimes>()
  private latencyMs = DEFAULT_LATENCY_TARGET_MS

  constructor (readonly name: string, settings: GatewaySettings) {
    const { bounds, host } = settings
    this.retryAllowance = new RetryAllowance({ ratio: bounds.retryRatio, extra: bounds.retryExtra, windowMs: bounds.retryWindow })
    this.regionShares = new RegionShares(host.region, bounds.shiftPart)
    this.spillAllowance = new SpillAllowance(bounds.shiftPart)
  }

  /** Returns the times of the requests of one route: the routes to one service may differ widely. */
  findTimes (route: string): ServiceTimes {
    const known = this.routeTimes.get(route)
    if (known !== undefined) return known
    const times = new ServiceTimes(this.times)
    putBounded(this.routeTimes, route, times, MAX_ROUTES)
    return times
  }

  observeRequest (targetLatencyMs: number, now: number): void {
    this.latencyMs = targetLatencyMs
    this.arrivals.add(now)
    this.retryAllowance.observeRequest(now)
    this.spillAllowance.observeRequest()
  }

  /** Returns the demand that peers need for planning the regions' shares. */
  describeDemand (now: number): ServiceDemand {
    return {
      service: this.name,
      perSecond: this.arrivals.count(now) / DEMAND_WINDOW_MS * 1_000,
      warmMs: this.times.getWarmMs(this.latencyMs),
      coldMs: this.times.getColdMs(this.latencyMs),
      parts: this.regionShares.hasPlan ? this.regionShares.getShares() : new Map()
    }
  }
}
