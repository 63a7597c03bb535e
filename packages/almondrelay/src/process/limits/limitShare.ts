import { computeGrantorWait } from './computeGrantorWait.js'
import { computeZoneFloor } from './computeZoneFloor.js'
import { isSameHost } from './isSameHost.js'
import { LimitBorrower } from './limitBorrower.js'
import { LimitLender } from './limitLender.js'
import type { LimitSpec } from './limitSpec.js'
import type { LimitsOptions } from './limitsOptions.js'
import type { LoanAnswer } from './loanAnswer.js'
import type { LoanRequest } from './loanRequest.js'
import type { PartClaims } from './partClaims.js'
import type { PartGrant } from './partGrant.js'
import { PartUser } from './partUser.js'
import type { RosterHost } from './rosterHost.js'

interface ShareSize {
  spec: LimitSpec
  /** Availability zones of the region that runs the work. */
  zones: readonly string[]
  maxDeadlineMs: number
}

/** Ratio of requested capacity to measured demand, so that spare capacity is available when demand rises. */
const HEADROOM_FACTOR = 1.25
/** Factor by which a past peak of demand decays in each planning round; there are four rounds a second. */
const PEAK_DECAY_FACTOR = 0.9
/**
 * Peaks below this count as no demand. The peak of a single request decays below it
 * after 7 rounds, so that one refused request still leads to a loan.
 */
const MIN_DEMAND = 0.5
/** Number of host loan terms in one zone loan term: a host's loan must end before the zone's loan from which it is lent. */
const HOST_TERMS_PER_ZONE_TERM = 3

/**
 * The share of one limit that one host may use. The zone's share (a floor, and loans from the lender of the region)
 * is a part that one host of the zone holds. That host uses the capacity that it hasn't lent to its peers in the
 * zone; the peers use the capacity that they have on loan from it.
 *
 * The limit is kept at each level: the zones' floors and the lender's pool add up to the limit, and the holder's own
 * work and its loans stay within the zone's share, since a host's loan, drift included, ends before the zone's loan.
 */
export class LimitShare extends PartUser {
  readonly partId: string
  running = 0
  /** False once the configuration no longer declares the limit. */
  declared = true
  private peakDemand = 0
  private readonly hostTermMs: number
  /** Loans from the lender of the region, while this host holds the zone's share. */
  private readonly zoneLoans: LimitBorrower
  /** Loans from the holder of the zone's share, while that is another host. */
  private readonly hostLoans: LimitBorrower
  private readonly lender: LimitLender

  constructor (private readonly self: RosterHost, private readonly availabilityZone: string, private size: ShareSize, private readonly claims: PartClaims, private readonly options: LimitsOptions) {
    super()
    this.partId = `share/${size.spec.name}`
    this.hostTermMs = options.loanTermMs / HOST_TERMS_PER_ZONE_TERM
    this.zoneLoans = new LimitBorrower(size.spec.name, options.loanTermMs)
    this.hostLoans = new LimitBorrower(size.spec.name, this.hostTermMs)
    this.lender = new LimitLender(`${self.name};${self.incarnation}`, this.hostTermMs, options)
    this.adoptSize(size)
  }

  get spec (): LimitSpec {
    return this.size.spec
  }

  /** Adopts a new size. A lowered limit applies to new work at once: floors shrink, and loans under the larger limit become void. */
  adoptSize (size: ShareSize): void {
    this.size = size
    this.claims.addPart({ id: this.partId, key: size.spec.name, rank: 0, waitMs: this.hostTermMs + size.maxDeadlineMs }, this)
  }

  /** Returns the capacity that is free for more work of this host. */
  computeFree (now: number): number {
    const capacity = this.claims.isHeld(this.partId)
      ? this.computeOwnCapacity(now)
      : this.hostLoans.countUsable(this.size.spec.maxInFlight, now)
    return Math.max(0, capacity - this.running)
  }

  /** Records that `wanted` more requests were to run, whether or not they were admitted. */
  recordDemand (wanted: number): void {
    this.peakDemand = Math.max(this.peakDemand, this.running + wanted)
  }

  /** Plans the next request for a loan and the host to send it to; an undefined host stands for the lender of the region. */
  planLoan (now: number): { host: string | undefined, request: LoanRequest } | undefined {
    this.peakDemand = Math.max(this.running, this.peakDemand * PEAK_DECAY_FACTOR)
    const limit = this.size.spec.maxInFlight
    const demand = this.peakDemand < MIN_DEMAND ? 0 : Math.ceil(this.peakDemand * HEADROOM_FACTOR)
    if (this.claims.isUsable(this.partId)) {
      const lent = this.lender.countLent(now)
      const floor = this.computeFloor()
      const wanted = Math.max(0, demand + lent + this.lender.computeShortage(now) - floor)
      const request = this.zoneLoans.planRequest({ wanted, used: Math.max(0, this.running + lent - floor), limit }, now)
      return request && { host: undefined, request }
    }
    const holder = this.claims.getHolder(this.partId)
    if (this.claims.isHeld(this.partId) || holder === undefined || isSameHost(holder, this.self)) return undefined
    const request = this.hostLoans.planRequest({ wanted: demand, used: this.running, limit }, now)
    return request && { host: holder.name, request }
  }

  acceptLoan (host: string | undefined, request: LoanRequest, answer: LoanAnswer): void {
    if (host === undefined) this.zoneLoans.acceptAnswer(request, answer)
    else this.hostLoans.acceptAnswer(request, answer)
  }

  /** Answers a loan request as holder of the zone's share; undefined when this host doesn't hold it. */
  lend (borrower: RosterHost, request: LoanRequest, now: number): LoanAnswer | undefined {
    if (!this.claims.isUsable(this.partId)) return undefined
    return this.lender.lend(borrower, request, {
      limit: this.size.spec.maxInFlight,
      computePool: (at) => Math.min(this.computeZoneCapacity(now), this.computeZoneCapacity(at)) - this.running,
      maxDeadlineMs: this.size.maxDeadlineMs,
      fairShare: this.computeFairShare(now)
    }, now)
  }

  reclaim (host: RosterHost, now: number): void {
    this.lender.reclaim(host, this.size.maxDeadlineMs, now)
  }

  /** Returns the zone's loans, hands over the loans to hosts, and keeps the unlent remainder of the floor as a loan to this host itself. */
  tryHandOver (_part: string, now: number): PartGrant[] | undefined {
    const floor = this.computeFloor()
    const lent = this.lender.countLent(now)
    if (lent + this.running > floor) return undefined
    const limit = this.size.spec.maxInFlight
    const grants = this.lender.listLoans(now).map(({ id, to, amount, limit, lapsesAt, busyUntil }) => ({ id, to, amount, limit, termMs: Math.max(0, lapsesAt - now), busyMs: busyUntil - now }))
    this.zoneLoans.returnAll()
    this.lender.clear()
    if (lent === floor) return grants
    const own = { id: `${this.self.name};${this.self.incarnation};kept;${now}`, amount: floor - lent, limit }
    this.hostLoans.acceptLoan(own.id, own.amount, limit, now + this.hostTermMs)
    const busyMs = computeGrantorWait(this.hostTermMs + this.size.maxDeadlineMs, this.options)
    return [...grants, { ...own, to: this.self, termMs: this.hostTermMs, busyMs }]
  }

  isOnlyGrantee (): boolean {
    return false
  }

  /** Takes over the grants of former holders. Loans to this host itself become void, because its running work now counts as the holder's own. */
  acceptPart (_part: string, grants: readonly PartGrant[], now: number): void {
    this.hostLoans.returnAll()
    for (const { id, to, amount, limit, termMs, busyMs } of grants.filter((grant) => !isSameHost(grant.to, this.self))) {
      this.lender.acceptLoan({ id, to, amount, limit, lapsesAt: now + termMs, busyUntil: now + computeGrantorWait(busyMs, this.options) })
    }
  }

  isIdle (now: number): boolean {
    const onLoan = this.lender.countLent(now) + this.zoneLoans.countUsable(Infinity, now) + this.hostLoans.countUsable(Infinity, now)
    return this.running + onLoan === 0 && !this.claims.hasBindingGrants(this.partId, now)
  }

  /** As holder of the share: the capacity that isn't lent, and at most a fair share while other hosts lack capacity. */
  private computeOwnCapacity (now: number): number {
    const left = this.computeZoneCapacity(now) - this.lender.countLent(now)
    return this.lender.hasShortage(now) ? Math.min(left, this.computeFairShare(now)) : left
  }

  private computeFairShare (now: number): number {
    return Math.ceil(this.computeZoneCapacity(now) / Math.max(1, this.claims.countLive()))
  }

  private computeFloor (): number {
    return computeZoneFloor(this.size.spec.maxInFlight, this.size.zones, this.availabilityZone)
  }

  private computeZoneCapacity (at: number): number {
    const loans = this.claims.isUsable(this.partId) ? this.zoneLoans.countUsable(this.size.spec.maxInFlight, at) : 0
    return this.computeFloor() + loans
  }
}
