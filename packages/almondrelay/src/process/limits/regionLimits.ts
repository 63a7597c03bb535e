import { match } from 'ts-pattern'
import { RefusalReason } from '../../request/refusalReason.js'
import type { Configuration } from '../../version/configuration.js'
import { ResourceKind } from '../../version/resources/resourceKind.js'
import { defaultLimitsOptions } from './defaultLimitsOptions.js'
import type { LimitDecision } from './limitDecision.js'
import { LimitKind } from './limitKind.js'
import type { LimitRoute } from './limitRoute.js'
import { LimitShare } from './limitShare.js'
import type { LimitSpec } from './limitSpec.js'
import type { LimitsOptions } from './limitsOptions.js'
import { listLimits } from './listLimits.js'
import type { LoanAnswer } from './loanAnswer.js'
import type { LoanRequest } from './loanRequest.js'
import type { PartClaims } from './partClaims.js'
import type { PlannedLoan } from './plannedLoan.js'
import type { RosterHost } from './rosterHost.js'

interface RegionLimitsIdentity {
  host: string
  incarnation: number
  availabilityZone: string
  region: string
}

/**
 * The limits on work that runs in this host's region: the region's own capacity over all services, the links
 * into the region and the shift caps on work from other regions. They are checked by the host that starts the work,
 * or that grants a credit for it to a sender in another region. `now` is this host's monotonic clock in milliseconds.
 */
export class RegionLimits {
  private readonly self: RosterHost
  private readonly options: LimitsOptions
  private readonly shares = new Map<string, LimitShare>()
  private readonly sharesByHolder = new Map<string, LimitShare[]>()
  /** Expiry times of the credits that hold capacity, by credit id, in order of expiry. */
  private readonly credits = new Map<string, number>()

  constructor (private readonly identity: RegionLimitsIdentity, private readonly claims: PartClaims, options: Partial<LimitsOptions> = {}) {
    this.self = { name: identity.host, incarnation: identity.incarnation }
    this.options = { ...defaultLimitsOptions, ...options }
  }

  /** Adopts the limits of the configuration; a region that it doesn't declare has none. `maxDeadlineMs` is the same as for HostSlots. */
  adoptConfiguration (configuration: Configuration, maxDeadlineMs: number, now: number): void {
    const zones = configuration.get(ResourceKind.region, this.identity.region)?.spec.availabilityZones ?? [this.identity.availabilityZone]
    for (const share of this.shares.values()) share.declared = false
    for (const spec of listLimits(configuration, this.identity.region)) this.adoptLimit({ spec, zones, maxDeadlineMs })
    this.prune(now)
    this.claims.advance(now)
  }

  /** Takes capacity in every limit on the route, or in none, for a request that ends by `runsUntil`, which HostSlots has checked. */
  acquire (route: LimitRoute, holder: string, runsUntil: number, now: number): LimitDecision {
    this.expire(now)
    this.claims.advance(now)
    const shares = this.listShares(route)
    shares.forEach((share) => share.recordDemand(1))
    const full = shares.find((share) => share.computeFree(now) < 1)
    if (full !== undefined) return { allowed: false, reason: getReason(full.spec.kind), limit: full.spec.name }
    if (runsUntil <= now || this.sharesByHolder.has(holder)) return { allowed: false, reason: RefusalReason.deadlinePassed, limit: '' }
    shares.forEach((share) => { share.running += 1 })
    this.sharesByHolder.set(holder, shares)
    return { allowed: true }
  }

  /** Records requests that wait for capacity, so that capacity is borrowed for them; otherwise a full share would never grow. */
  recordDemand (route: LimitRoute, wanted: number): void {
    this.listShares(route).forEach((share) => share.recordDemand(wanted))
  }

  /** Takes capacity for a credit, as `acquire` does for a request; it is released when the credit expires unused. */
  acquireForCredit (route: LimitRoute, creditId: string, expiresAt: number, now: number): LimitDecision {
    const decision = this.acquire(route, creditId, expiresAt, now)
    if (decision.allowed) this.credits.set(creditId, expiresAt)
    return decision
  }

  /** Transfers the credit's capacity to a request; false when the credit no longer holds any. */
  useCredit (creditId: string, holder: string, now: number): boolean {
    this.expire(now)
    const shares = this.sharesByHolder.get(creditId)
    if (shares === undefined || !this.credits.delete(creditId)) return false
    this.sharesByHolder.delete(creditId)
    this.sharesByHolder.set(holder, shares)
    return true
  }

  /** Releases the capacity once the request's answer or refusal is known, or the credit was returned. */
  release (holder: string, now: number): void {
    this.expire(now)
    this.credits.delete(holder)
    this.sharesByHolder.get(holder)?.forEach((share) => { share.running -= 1 })
    this.sharesByHolder.delete(holder)
  }

  /** Counts the requests that the limits still admit on the route; Infinity where no limit is declared. */
  countFree (route: LimitRoute, now: number): number {
    this.expire(now)
    return Math.min(...this.listShares(route).map((share) => share.computeFree(now)))
  }

  /** Counts this host's running requests under a limit. */
  countRunning (limit: string): number {
    return this.shares.get(limit)?.running ?? 0
  }

  /** Plans the loan requests to send now; terms count from `now`. To be called four times a second. */
  planLoans (now: number): PlannedLoan[] {
    this.expire(now)
    return [...this.shares.values()].filter((share) => share.declared).flatMap((share) => share.planLoan(now) ?? [])
  }

  acceptLoan (planned: PlannedLoan, answer: LoanAnswer): void {
    this.shares.get(planned.request.limit)?.acceptLoan(planned.host, planned.request, answer)
  }

  /** Answers a loan request of a host of the own zone; undefined when this host doesn't hold the zone's share. */
  lend (borrower: RosterHost, request: LoanRequest, now: number): LoanAnswer | undefined {
    return this.shares.get(request.limit)?.lend(borrower, request, now)
  }

  /** Records definitive evidence that a process is gone; HostSlots passes the evidence on to the claims. */
  markGone (host: string, incarnation: number, now: number): void {
    for (const share of this.shares.values()) share.reclaim({ name: host, incarnation }, now)
  }

  private adoptLimit (size: { spec: LimitSpec, zones: readonly string[], maxDeadlineMs: number }): void {
    const share = this.shares.get(size.spec.name)
    if (share === undefined) {
      this.shares.set(size.spec.name, new LimitShare(this.self, this.identity.availabilityZone, size, this.claims, this.options))
      return
    }
    share.declared = true
    share.adoptSize(size)
  }

  private listShares (route: LimitRoute): LimitShare[] {
    const isRemote = route.fromRegion !== route.toRegion
    return [...this.shares.values()].filter(({ declared, spec }) => {
      if (!declared || (spec.service !== undefined && spec.service !== route.service)) return false
      return spec.fromRegion === undefined || (isRemote && spec.fromRegion === route.fromRegion)
    })
  }

  private expire (now: number): void {
    for (const [id, expiresAt] of this.credits) {
      if (now < expiresAt) return
      this.credits.delete(id)
      this.release(id, now)
    }
  }

  private prune (now: number): void {
    for (const share of [...this.shares.values()].filter((each) => !each.declared && each.isIdle(now))) {
      this.shares.delete(share.spec.name)
      this.claims.removePart(share.partId)
    }
  }
}

const getReason = (kind: LimitKind): RefusalReason => match(kind)
  .with(LimitKind.region, () => RefusalReason.regionFull)
  .with(LimitKind.link, () => RefusalReason.linkFull)
  .with(LimitKind.shift, () => RefusalReason.shiftCapFull)
  .exhaustive()
