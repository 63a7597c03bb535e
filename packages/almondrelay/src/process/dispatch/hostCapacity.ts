import type { RefusalReason } from '../../request/refusalReason.js'
import type { HostSlots } from '../limits/hostSlots.js'
import type { LimitRoute } from '../limits/limitRoute.js'
import type { RegionLimits } from '../limits/regionLimits.js'
import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { CreditGrant } from './creditGrant.js'
import { SlotPool } from './slotPool.js'

interface CapacityParts {
  region: string
  slots: HostSlots
  limits: RegionLimits
  /** Called when requests wait for capacity, so that it is borrowed. */
  wakeLoans: () => void
}

/**
 * Capacity of this host to start requests. A request needs a slot of a target and capacity in every limit of the
 * region; both are acquired and released together, so that neither is ever held without the other.
 */
export class HostCapacity extends SlotPool {
  private lastRefusalReason: RefusalReason | undefined

  constructor (private readonly parts: CapacityParts) {
    super()
  }

  /** Limit that refused the last attempt to take a slot; it is the reason given to a caller that gets no slot. */
  override get shortage (): RefusalReason | undefined {
    return this.lastRefusalReason
  }

  override getFree (service: string, now: number): Map<string, number> {
    return this.parts.slots.getFree(service, now)
  }

  override countFree (service: string, now: number): number {
    const slots = [...this.getFree(service, now).values()].reduce((sum, each) => sum + each, 0)
    const limitCapacity = this.parts.limits.countFree(this.makeRoute(service, this.parts.region), now)
    return Math.max(0, Math.min(slots, limitCapacity))
  }

  override observeWaiting (service: string, waiting: number): void {
    this.reportDemand(this.makeRoute(service, this.parts.region), waiting)
  }

  override adoptTargets (service: string, targets: readonly TargetSpec[], maxDeadlineMs: number, now: number): void {
    this.parts.slots.adoptTargets(service, targets, maxDeadlineMs, now)
  }

  override acquire (service: string, target: string, holder: string, runsUntil: number, now: number): boolean {
    const { slots, limits, region } = this.parts
    const decision = limits.acquire(this.makeRoute(service, region), holder, runsUntil, now)
    this.lastRefusalReason = decision.allowed ? undefined : decision.reason
    if (!decision.allowed) return false
    if (slots.acquire(service, target, holder, runsUntil, now)) return true
    limits.release(holder, now)
    return false
  }

  override release (holder: string, now: number): void {
    this.parts.slots.release(holder, now)
    this.parts.limits.release(holder, now)
  }

  override grantCredits (service: string, sender: { host: string, region: string }, wanted: number, now: number, isUsable: (target: string) => boolean): CreditGrant {
    const { slots, limits } = this.parts
    const route = this.makeRoute(service, sender.region)
    this.reportDemand(route, wanted)
    const credits = slots.grantCredits(service, sender.host, wanted, now, isUsable)
    const admitted = []
    let reason: RefusalReason | undefined
    for (const credit of credits) {
      const decision = limits.acquireForCredit(route, credit.id, credit.expiresAt, now)
      if (decision.allowed) {
        admitted.push(credit)
        continue
      }
      reason = decision.reason
      slots.returnCredits([credit.id], now)
    }
    return reason === undefined ? { credits: admitted } : { credits: admitted, reason }
  }

  override useCredit (creditId: string, holder: string, runsUntil: number, now: number): { service: string, target: string } | undefined {
    const { slots, limits } = this.parts
    const used = slots.useCredit(creditId, holder, runsUntil, now)
    if (used === undefined) {
      limits.release(creditId, now)
      return undefined
    }
    if (limits.useCredit(creditId, holder, now)) return used
    slots.release(holder, now)
    return undefined
  }

  override returnCredits (ids: readonly string[], now: number): void {
    this.parts.slots.returnCredits(ids, now)
    for (const id of ids) this.parts.limits.release(id, now)
  }

  private reportDemand (route: LimitRoute, wanted: number): void {
    this.parts.limits.recordDemand(route, wanted)
    this.parts.wakeLoans()
  }

  private makeRoute (service: string, fromRegion: string): LimitRoute {
    return { service, fromRegion, toRegion: this.parts.region }
  }
}
