import { computeGrantorWait } from './computeGrantorWait.js'
import { defaultLimitsOptions } from './defaultLimitsOptions.js'
import { LimitLender } from './limitLender.js'
import type { LimitSpec } from './limitSpec.js'
import type { LimitsOptions } from './limitsOptions.js'
import type { LoanAnswer } from './loanAnswer.js'
import type { LoanRequest } from './loanRequest.js'
import type { RosterHost } from './rosterHost.js'

/**
 * Lends the half of each limit of a region that isn't any zone's floor, while this host holds the
 * platform's key `lenders/<region>` under a platform lease. A new lender doesn't know its predecessor's
 * loans, so it lends nothing until the longest term and the longest deadline have passed.
 * The authority to lend counts from the sending of the last renewal, so it has expired when a lender resumes after a long pause.
 */
export class RegionLender {
  private readonly options: LimitsOptions
  private readonly lenders = new Map<string, LimitLender>()
  private limits = new Map<string, LimitSpec>()
  private zones = 1
  private maxDeadlineMs = 0
  private authorityUntil = -Infinity
  private startsAt = Infinity

  constructor (private readonly self: RosterHost, options: Partial<LimitsOptions> = {}) {
    this.options = { ...defaultLimitsOptions, ...options }
  }

  /** Adopts the limits of the region, from `listLimits`, and the number of its availability zones. */
  adoptLimits (limits: readonly LimitSpec[], zones: number, maxDeadlineMs: number): void {
    this.zones = Math.max(1, zones)
    this.limits = new Map(limits.map((limit) => [limit.name, limit]))
    this.maxDeadlineMs = maxDeadlineMs
  }

  /**
   * Applies a platform lease that was taken or renewed: `sentAt` is when the platform call was sent, `termMs` the
   * requested term. `isFirst` means that no host has ever lent for the region.
   */
  acceptAuthority (sentAt: number, termMs: number, isFirst: boolean, now: number): void {
    if (now >= this.authorityUntil) {
      this.lenders.clear()
      this.startsAt = isFirst ? now : now + computeGrantorWait(this.options.loanTermMs + this.maxDeadlineMs, this.options)
    }
    this.authorityUntil = Math.max(this.authorityUntil, sentAt + termMs)
  }

  /** Ends the authority when the platform answers that the lease has ended. */
  dropAuthority (): void {
    this.authorityUntil = -Infinity
  }

  /** Answers a loan request; undefined when this host may not lend now. */
  lend (borrower: RosterHost, request: LoanRequest, now: number): LoanAnswer | undefined {
    const spec = this.limits.get(request.limit)
    if (spec === undefined || now >= this.authorityUntil || now < this.startsAt) return undefined
    const lender = this.lenders.get(spec.name) ?? new LimitLender(`${this.self.name};${this.self.incarnation};${this.startsAt}`, this.options.loanTermMs, this.options)
    this.lenders.set(spec.name, lender)
    const pool = Math.floor(spec.maxInFlight / 2)
    return lender.lend(borrower, request, { limit: spec.maxInFlight, computePool: () => pool, maxDeadlineMs: this.maxDeadlineMs, fairShare: Math.ceil(pool / this.zones) }, now)
  }

  /** Records definitive evidence that a borrower's process is gone. */
  markGone (host: RosterHost, now: number): void {
    for (const lender of this.lenders.values()) lender.reclaim(host, this.maxDeadlineMs, now)
  }
}
