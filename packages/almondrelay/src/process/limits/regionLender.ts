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
 * platform's key `lenders/<region>` under a platform lease. A new lender knows nothing of its
 * predecessor's loans: it lends nothing until the longest term and the longest deadline are over.
 * A paused lender that wakes finds its authority, counted from the sending of its last renewal, over.
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

  /** The limits of the region, from `listLimits`, and the number of its availability zones. */
  adoptLimits (limits: readonly LimitSpec[], zones: number, maxDeadlineMs: number): void {
    this.zones = Math.max(1, zones)
    this.limits = new Map(limits.map((limit) => [limit.name, limit]))
    this.maxDeadlineMs = maxDeadlineMs
  }

  /**
   * The platform lease was taken or renewed: `sentAt` is when the call for it left, `termMs` what was
   * asked for. `isFirst` says that no host has ever lent for the region.
   */
  acceptAuthority (sentAt: number, termMs: number, isFirst: boolean, now: number): void {
    if (now >= this.authorityUntil) {
      this.lenders.clear()
      this.startsAt = isFirst ? now : now + computeGrantorWait(this.options.loanTermMs + this.maxDeadlineMs, this.options)
    }
    this.authorityUntil = Math.max(this.authorityUntil, sentAt + termMs)
  }

  /** Undefined when this host may not lend now. */
  lend (borrower: RosterHost, request: LoanRequest, now: number): LoanAnswer | undefined {
    const spec = this.limits.get(request.limit)
    if (spec === undefined || now >= this.authorityUntil || now < this.startsAt) return undefined
    const lender = this.lenders.get(spec.name) ?? new LimitLender(`${this.self.name};${this.self.incarnation};${this.startsAt}`, this.options.loanTermMs, this.options)
    this.lenders.set(spec.name, lender)
    const pool = Math.floor(spec.maxInFlight / 2)
    return lender.lend(borrower, request, { limit: spec.maxInFlight, computePool: () => pool, maxDeadlineMs: this.maxDeadlineMs, fairShare: Math.ceil(pool / this.zones) }, now)
  }

  /** A borrower's process is gone, on definitive evidence. */
  markGone (host: RosterHost, now: number): void {
    for (const lender of this.lenders.values()) lender.reclaim(host, this.maxDeadlineMs, now)
  }
}
