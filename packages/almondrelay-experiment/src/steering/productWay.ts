import { SpillAllowance, chooseTarget, decideAdmission, makeTarget, planRegionShares, RegionShares, ServiceTimes, type RegionDemand, type TargetChoice, type TargetState } from 'almondrelay-gateway/testing'
import { deployment } from '../model/deployment.js'
import type { ModelRequest } from '../model/modelRequest.js'
import type { KnownTarget } from './knownTarget.js'
import { SteeringWay } from './steeringWay.js'

const SERVICE = 'service'
const DEMAND_WINDOW_MS = 2_000
const MS_PER_SECOND = 1_000

interface WayOptions {
  /** Whether a queue that is longer than what is on time is refused. */
  boundsQueue: boolean
  /** Whether keys move to other regions by load. */
  movesRegions: boolean
}

/** The product's own decisions, as one host takes them. */
export class ProductWay extends SteeringWay {
  private readonly targets: TargetState[]
  private readonly times = new ServiceTimes()
  private readonly parts: RegionShares
  private readonly away = new SpillAllowance(deployment.shiftPart)
  private readonly choices = new Map<ModelRequest, TargetChoice>()
  private arrivals: number[] = []

  constructor (targets: readonly KnownTarget[], private readonly region: string, private readonly options: WayOptions) {
    super()
    this.targets = targets.map((target) => makeTarget({ ...target, service: SERVICE, availabilityZone: target.region }))
    this.parts = new RegionShares(region, deployment.shiftPart)
    this.parts.adopt(new Map([[region, 1]]), 0)
  }

  override decide (request: ModelRequest, now: number): ReturnType<SteeringWay['decide']> {
    this.arrivals.push(now)
    this.away.observeRequest()
    const homeRegion = this.parts.findHomeRegion(request.key)
    const choice = this.choose(request, homeRegion, now)
    if (choice === undefined) return { kind: 'refuse', retryAfterMs: MS_PER_SECOND }
    const { targetLatencyMs } = deployment
    const retryAfterMs = this.options.boundsQueue
      ? decideAdmission({ choice, targetLatencyMs, elapsedMs: now - request.arrivedAt, remainingMs: request.deadline - now })
      : 0
    if (retryAfterMs > 0) return { kind: 'refuse', retryAfterMs }
    choice.target.inFlight += 1
    if (choice.target.entry.region !== homeRegion) this.away.use()
    this.choices.set(request, choice)
    return { kind: 'send', targetId: choice.target.entry.id }
  }

  override observeEnd (request: ModelRequest, _targetId: string, hasRun: boolean, durationMs: number, now: number): void {
    const choice = this.choices.get(request)
    if (choice === undefined) return
    this.choices.delete(request)
    choice.target.inFlight -= 1
    if (!hasRun) {
      choice.target.observeFailure(now)
      return
    }
    const workMs = Math.max(1, durationMs - choice.roundTripMs - choice.waitMs)
    choice.target.observeAnswer(workMs / Math.max(1, choice.workMs / choice.target.getSlowness(now)), now)
    this.times.observeAnswer(workMs, choice.isCached, deployment.targetLatencyMs)
    choice.target.warmKeys.add(request.key)
  }

  override hearPeers (peers: readonly SteeringWay[], now: number): void {
    const others = peers.filter((peer): peer is ProductWay => peer instanceof ProductWay && peer !== this)
    for (const [index, peer] of others.entries()) {
      if (peer.region !== this.region) continue
      for (const target of this.targets) target.receivePeerCount(String(index), peer.countAt(target.entry.id), now)
    }
    if (!this.options.movesRegions) return
    const demands = [this.describeDemand(now), ...others.map((peer) => peer.describeDemand(now))]
    this.parts.moveTowards(planRegionShares({ ownRegion: this.region, regions: deployment.regions, demands, targets: this.targets, roundTripMs: deployment.tripFarMs, current: this.parts.getShares() }, now), now)
  }

  override countAt (targetId: string): number {
    return this.targets.find(({ entry }) => entry.id === targetId)?.inFlight ?? 0
  }

  private choose (request: ModelRequest, homeRegion: string, now: number): TargetChoice | undefined {
    const { targetLatencyMs, tripNearMs, tripFarMs } = deployment
    return chooseTarget(this.targets, {
      now,
      keyHash: request.key,
      homeRegion,
      findRoundTripMs: (region) => region === this.region ? tripNearMs : tripFarMs,
      warmMs: this.times.getWarmMs(targetLatencyMs),
      coldMs: this.times.getColdMs(targetLatencyMs),
      meanMs: this.times.getMeanMs(targetLatencyMs),
      targetLatencyMs,
      isEligible: () => true,
      allowCold: () => true,
      allowSend: () => true,
      isLimited: () => false,
      isWarmUpRequest: true,
      canSpill: this.options.movesRegions && this.away.allow()
    })
  }

  private describeDemand (now: number): RegionDemand {
    this.arrivals = this.arrivals.filter((at) => now - at <= DEMAND_WINDOW_MS)
    const perSecond = this.arrivals.length / DEMAND_WINDOW_MS * MS_PER_SECOND
    return { region: this.region, demand: { service: SERVICE, perSecond, warmMs: this.times.getWarmMs(deployment.targetLatencyMs), coldMs: this.times.getColdMs(deployment.targetLatencyMs), parts: new Map() } }
  }
}
