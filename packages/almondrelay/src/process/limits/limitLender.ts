import { computeGrantorWait } from './computeGrantorWait.js'
import { isSameHost } from './isSameHost.js'
import type { LimitsOptions } from './limitsOptions.js'
import type { Loan } from './loan.js'
import type { LoanAnswer } from './loanAnswer.js'
import type { LoanRequest } from './loanRequest.js'
import type { RosterHost } from './rosterHost.js'

interface LenderTerms {
  /** The limit's current size. */
  limit: number
  /** Computes the maximum capacity that may still be out on loan at a future time. */
  computePool: (at: number) => number
  /** Longest time for which work begun on a loan may run after the loan's end. */
  maxDeadlineMs: number
  /** Maximum capacity that a borrower may hold while other borrowers lack capacity. */
  fairShare: number
}

interface Shortage {
  amount: number
  until: number
}

/**
 * Lends capacity from a pool that no other lender uses. A loan counts against the pool until it is returned,
 * or until its term and then the longest deadline have passed; the lender counts both on its own clock from its
 * answer, with the drift margin. A repeated request gets its first answer again; an older request gets no loans.
 *
 * This guards against lending capacity a second time while requests of a borrower that froze or was cut off
 * still run: a region or link would carry the work of both borrowers. The borrower counts the term from the
 * sending of its request, which is earlier than the answer from which the lender counts.
 *
 * While some borrower lacks capacity, no other borrower gets more than its fair share, nor keeps more beyond the
 * current term. Otherwise the first borrower would hold the whole pool for as long as it is busy.
 */
export class LimitLender {
  private readonly loans = new Map<string, Loan>()
  private readonly answered = new Map<string, { sequence: number, answer: LoanAnswer, until: number }>()
  private readonly shortages = new Map<string, Shortage>()
  private created = 0

  /** `prefix` makes the loan ids unique across lenders. */
  constructor (private readonly prefix: string, private readonly termMs: number, private readonly options: LimitsOptions) {}

  lend (borrower: RosterHost, request: LoanRequest, terms: LenderTerms, now: number): LoanAnswer {
    this.expire(now)
    const key = `${borrower.name};${borrower.incarnation}`
    const last = this.answered.get(key)
    if (last !== undefined && request.sequence <= last.sequence) return request.sequence === last.sequence ? last.answer : { termMs: this.termMs, loans: [] }
    const own = [...this.loans.values()].filter((loan) => isSameHost(loan.to, borrower))
    own.filter((loan) => request.returned.includes(loan.id)).forEach((loan) => this.loans.delete(loan.id))
    const available = terms.computePool(now + computeGrantorWait(this.termMs, this.options)) - this.countLent(now)
    const maxAmount = this.hasShortage(now, key) ? terms.fairShare : Infinity
    const kept = available < 0 ? [] : pickLoansWithin(maxAmount, own.filter((loan) => this.loans.has(loan.id) && loan.lapsesAt > now))
    const renewed = kept.filter((loan) => request.renewed.includes(loan.id) && loan.limit <= terms.limit)
    renewed.forEach((loan) => this.renew(loan, terms, now))
    const amount = Math.max(0, Math.min(request.wanted, available, maxAmount - this.countLentTo(borrower)))
    this.shortages.set(key, { amount: request.wanted - amount, until: now + this.termMs })
    const created = amount > 0 ? [this.create(borrower, amount, terms, now)] : []
    const answer = { termMs: this.termMs, loans: [...renewed, ...created].map(({ id, amount, limit }) => ({ id, amount, limit })) }
    this.answered.set(key, { sequence: request.sequence, answer, until: now + this.computeBusyMs(terms) })
    return answer
  }

  /** Returns the capacity out on loan, including expired loans whose work may still be running. */
  countLent (now: number): number {
    this.expire(now)
    return [...this.loans.values()].reduce((sum, loan) => sum + loan.amount, 0)
  }

  /** Whether a borrower, other than the one with the key `except`, got less than it wanted within the last term. */
  hasShortage (now: number, except?: string): boolean {
    return [...this.shortages].some(([key, shortage]) => key !== except && shortage.amount > 0 && now < shortage.until)
  }

  /** Returns the capacity that borrowers wanted and didn't get within the last term. */
  computeShortage (now: number): number {
    return [...this.shortages.values()].reduce((sum, shortage) => sum + (now < shortage.until ? shortage.amount : 0), 0)
  }

  listLoans (now: number): Loan[] {
    this.expire(now)
    return [...this.loans.values()]
  }

  /** Adds a loan of a former lender, which binds this lender. */
  acceptLoan (loan: Loan): void {
    const known = this.loans.get(loan.id)
    this.loans.set(loan.id, { ...loan, busyUntil: Math.max(loan.busyUntil, known?.busyUntil ?? -Infinity) })
  }

  /** Clears all state after another lender has taken over the loans. */
  clear (): void {
    this.loans.clear()
    this.answered.clear()
    this.shortages.clear()
  }

  /** Shortens the loans of a borrower whose process is gone: no new work can begin on them, but work already begun may run on. */
  reclaim (host: RosterHost, maxDeadlineMs: number, now: number): void {
    const busyUntil = now + computeGrantorWait(maxDeadlineMs, this.options)
    for (const loan of this.loans.values()) if (isSameHost(loan.to, host)) loan.busyUntil = Math.min(loan.busyUntil, busyUntil)
  }

  private countLentTo (borrower: RosterHost): number {
    return [...this.loans.values()].reduce((sum, loan) => sum + (isSameHost(loan.to, borrower) ? loan.amount : 0), 0)
  }

  private renew (loan: Loan, terms: LenderTerms, now: number): void {
    loan.lapsesAt = Math.max(loan.lapsesAt, now + computeGrantorWait(this.termMs, this.options))
    loan.busyUntil = Math.max(loan.busyUntil, now + this.computeBusyMs(terms))
  }

  private create (borrower: RosterHost, amount: number, terms: LenderTerms, now: number): Loan {
    this.created += 1
    const loan = { id: `${this.prefix};${this.created}`, to: borrower, amount, limit: terms.limit, lapsesAt: -Infinity, busyUntil: -Infinity }
    this.renew(loan, terms, now)
    this.loans.set(loan.id, loan)
    return loan
  }

  private computeBusyMs (terms: LenderTerms): number {
    return computeGrantorWait(this.termMs + terms.maxDeadlineMs, this.options)
  }

  private expire (now: number): void {
    for (const [id, loan] of this.loans) if (now >= loan.busyUntil) this.loans.delete(id)
    for (const [key, last] of this.answered) if (now >= last.until) this.answered.delete(key)
    for (const [key, shortage] of this.shortages) if (now >= shortage.until) this.shortages.delete(key)
  }
}

/** Picks loans whose total stays within an amount, larger ones first. The result for a borrower doesn't depend on the loans that it asks to renew. */
function pickLoansWithin (maxAmount: number, loans: readonly Loan[]): Loan[] {
  let remaining = maxAmount
  return [...loans].sort((left, right) => right.amount - left.amount || (left.id < right.id ? -1 : 1)).filter((loan) => {
    if (loan.amount > remaining) return false
    remaining -= loan.amount
    return true
  })
}
