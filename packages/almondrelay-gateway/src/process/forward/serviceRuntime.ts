import { AwayAllowance } from '../../request/awayAllowance.js'
import { putBounded } from '../../request/putBounded.js'
import { RegionParts } from '../../request/regionParts.js'
import { RetryAllowance } from '../../request/retryAllowance.js'
import { ServiceTimes } from '../../request/serviceTimes.js'
import { SlidingCount } from '../../request/slidingCount.js'
import type { ServiceDemand } from '../peers/serviceDemand.js'
import type { GatewaySettings } from '../settings/gatewaySettings.js'

/** Milliseconds over which the rate of requests is counted. */
const DEMAND_WINDOW_MS = 2_000
/** Latency target, in milliseconds, from which the time of a service without requests is guessed. */
const FIRST_LATENCY_MS = 250
/** Routes whose times are remembered; the one that was first asked for longest ago is forgotten. */
const MOST_ROUTES = 200

/** What a host learns of one service, for as long as the process lives. */
export class ServiceRuntime {
  /** Of all routes to the service. */
  readonly times = new ServiceTimes()
  readonly retries: RetryAllowance
  readonly regionParts: RegionParts
  readonly away: AwayAllowance
  private readonly arrivals = new SlidingCount(DEMAND_WINDOW_MS)
  private readonly routeTimes = new Map<string, ServiceTimes>()
  private latencyMs = FIRST_LATENCY_MS

  constructor (readonly name: string, settings: GatewaySettings) {
    const { bounds, host } = settings
    this.retries = new RetryAllowance({ ratio: bounds.retryRatio, extra: bounds.retryExtra, windowMs: bounds.retryWindow })
    this.regionParts = new RegionParts(host.region, bounds.shiftPart)
    this.away = new AwayAllowance(bounds.shiftPart)
  }

  /** Times of the requests of one route: those of routes to one service may differ by far. */
  findTimes (route: string): ServiceTimes {
    const known = this.routeTimes.get(route)
    if (known !== undefined) return known
    const times = new ServiceTimes(this.times)
    putBounded(this.routeTimes, route, times, MOST_ROUTES)
    return times
  }

  observeRequest (targetLatencyMs: number, now: number): void {
    this.latencyMs = targetLatencyMs
    this.arrivals.add(now)
    this.retries.observeRequest(now)
    this.away.observeRequest()
  }

  /** What peers need to know to plan the regions' parts. */
  describeDemand (now: number): ServiceDemand {
    return {
      service: this.name,
      perSecond: this.arrivals.count(now) / DEMAND_WINDOW_MS * 1_000,
      warmMs: this.times.getWarmMs(this.latencyMs),
      coldMs: this.times.getColdMs(this.latencyMs),
      parts: this.regionParts.isPlanned ? this.regionParts.getParts() : new Map()
    }
  }
}
