import { AwayAllowance } from '../../request/awayAllowance.js'
import { RegionParts } from '../../request/regionParts.js'
import { RetryAllowance } from '../../request/retryAllowance.js'
import { ServiceTimes } from '../../request/serviceTimes.js'
import { SlidingCount } from '../../request/slidingCount.js'
import type { ServiceDemand } from '../peers/serviceDemand.js'
import type { GatewaySettings } from '../settings/gatewaySettings.js'

/** Milliseconds over which the rate of requests is counted. */
const DEMAND_WINDOW_MS = 2_000
/** Latency target, in milliseconds, from which the time of a service without answers is guessed. */
const FIRST_LATENCY_MS = 250

/** What a host learns of one service, for as long as the process lives. */
export class ServiceRuntime {
  readonly times = new ServiceTimes()
  readonly retries: RetryAllowance
  readonly regionParts: RegionParts
  readonly away: AwayAllowance
  private readonly arrivals = new SlidingCount(DEMAND_WINDOW_MS)

  constructor (readonly name: string, settings: GatewaySettings) {
    const { bounds, host } = settings
    this.retries = new RetryAllowance({ ratio: bounds.retryRatio, extra: bounds.retryExtra, windowMs: bounds.retryWindow })
    this.regionParts = new RegionParts(host.region, bounds.shiftPart)
    this.away = new AwayAllowance(bounds.shiftPart)
  }

  observeRequest (now: number): void {
    this.arrivals.add(now)
    this.retries.observeRequest(now)
    this.away.observeRequest()
  }

  /** What peers need to know to plan the regions' parts. */
  describeDemand (now: number): ServiceDemand {
    return {
      service: this.name,
      perSecond: this.arrivals.count(now) / DEMAND_WINDOW_MS * 1_000,
      warmMs: this.times.getWarmMs(FIRST_LATENCY_MS),
      parts: this.regionParts.isPlanned ? this.regionParts.getParts() : new Map()
    }
  }
}
