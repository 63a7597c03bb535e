import type { LoanAnswer } from './loanAnswer.js'
import type { LoanRequest } from './loanRequest.js'

interface HeldLoan {
  amount: number
  /** The limit's size when it was lent. */
  limit: number
  until: number
}

interface BorrowerNeed {
  /** Capacity on loan that this borrower wants. */
  wanted: number
  /** Capacity on loan that its running work uses. */
  used: number
  /** The limit's current size. */
  limit: number
}

/** Fraction of a term after which a loan is renewed: two renewals can be lost before the loan expires. */
const RENEWAL_FRACTION = 1 / 3
/** Time to wait for an answer before the next request: several round trips between the regions that are farthest apart. */
const ANSWER_TIMEOUT_MS = 500

/**
 * Capacity on loan to one borrower. A loan is usable from its answer until its term, counted from the
 * sending of the request, ends, and only while the limit is at least as large as when the loan was granted.
 * A lowered limit therefore applies at once at every borrower that knows of it, without a message to the lender.
 */
export class LimitBorrower {
  private readonly loans = new Map<string, HeldLoan>()
  private returned: string[] = []
  private sequence = 0
  private lastRequestAt = -Infinity
  private isAwaitingAnswer = false

  constructor (private readonly name: string, private readonly termMs: number) {}

  /** Returns the capacity on loan that is usable at `now`; for a future time, the capacity if no loan is renewed. */
  countUsable (limit: number, now: number): number {
    let sum = 0
    for (const loan of this.loans.values()) if (now < loan.until && loan.limit <= limit) sum += loan.amount
    return sum
  }

  /** Plans the next request; undefined when there is nothing to request or an answer may still arrive. A request supersedes earlier ones. */
  planRequest (need: BorrowerNeed, now: number): LoanRequest | undefined {
    if (this.isAwaitingAnswer && now < this.lastRequestAt + ANSWER_TIMEOUT_MS) return undefined
    for (const [id, loan] of this.loans) if (now >= loan.until) this.loans.delete(id)
    this.returnUnneeded(need, now)
    const lacking = Math.max(0, need.wanted - this.countUsable(need.limit, now))
    const due = [...this.loans].filter(([, loan]) => loan.limit <= need.limit && now >= loan.until - this.termMs * (1 - RENEWAL_FRACTION))
    if (lacking === 0 && due.length === 0 && this.returned.length === 0) return undefined
    this.sequence += 1
    this.lastRequestAt = now
    this.isAwaitingAnswer = true
    return { limit: this.name, sequence: this.sequence, sentAt: now, wanted: lacking, renewed: due.map(([id]) => id), returned: [...this.returned] }
  }

  /** Applies an answer to the last request. An answer to an earlier request is dropped, and its new loans expire unused. */
  acceptAnswer (request: LoanRequest, answer: LoanAnswer): void {
    if (request.sequence !== this.sequence) return
    this.isAwaitingAnswer = false
    this.returned = this.returned.filter((id) => !request.returned.includes(id))
    for (const { id, amount, limit } of answer.loans) {
      const known = this.loans.get(id)
      this.loans.set(id, { amount, limit, until: Math.max(known?.until ?? -Infinity, request.sentAt + answer.termMs) })
    }
  }

  /** Adds a loan that was not requested, such as the capacity that a holder keeps when it hands a share over. */
  acceptLoan (id: string, amount: number, limit: number, until: number): void {
    this.loans.set(id, { amount, limit, until })
  }

  /** Returns all loans; the calling code must make sure that no work needs them. An answer still in transit can't restore a returned loan. */
  returnAll (): void {
    this.sequence += 1
    this.returned.push(...this.loans.keys())
    this.loans.clear()
  }

  private returnUnneeded (need: BorrowerNeed, now: number): void {
    for (const [id, loan] of this.loans) {
      const isVoid = loan.limit > need.limit
      const left = this.countUsable(need.limit, now) - (isVoid ? 0 : loan.amount)
      if (left < need.used || (!isVoid && left < need.wanted)) continue
      this.loans.delete(id)
      this.returned.push(id)
    }
  }
}
