import type { LoanAnswer } from './loanAnswer.js'
import type { LoanRequest } from './loanRequest.js'

interface Held {
  amount: number
  /** The limit's size when it was lent. */
  limit: number
  until: number
}

interface BorrowerNeed {
  /** Capacity on loan that this borrower would like to have. */
  wanted: number
  /** Capacity on loan that its work uses just now. */
  used: number
  /** The limit's present size. */
  limit: number
}

/** Part of a term that may pass before a loan is renewed: two renewals may be lost before it lapses. */
const RENEW_AFTER = 1 / 3
/** Wait for an answer in milliseconds before asking again: several round trips between the farthest regions. */
const ANSWER_MS = 500

/**
 * Capacity on loan to one borrower. A loan is usable from its answer until its term, counted from the
 * sending of the request, is over, and only while the limit is at least as large as when it was lent:
 * so a lowered limit holds at once, at every borrower that knows of it, without a word to the lender.
 */
export class LimitBorrower {
  private readonly loans = new Map<string, Held>()
  private returned: string[] = []
  private sequence = 0
  private askedAt = -Infinity
  private isWaiting = false

  constructor (private readonly name: string, private readonly termMs: number) {}

  /** Capacity usable now or, where no renewal comes, at a time to come. */
  countUsable (limit: number, now: number): number {
    let sum = 0
    for (const loan of this.loans.values()) if (now < loan.until && loan.limit <= limit) sum += loan.amount
    return sum
  }

  /** The next request; undefined when nothing is to be asked or an answer may still come. A request replaces those before it. */
  plan (need: BorrowerNeed, now: number): LoanRequest | undefined {
    if (this.isWaiting && now < this.askedAt + ANSWER_MS) return undefined
    for (const [id, loan] of this.loans) if (now >= loan.until) this.loans.delete(id)
    this.returnUnneeded(need, now)
    const lacking = Math.max(0, need.wanted - this.countUsable(need.limit, now))
    const due = [...this.loans].filter(([, loan]) => loan.limit <= need.limit && now >= loan.until - this.termMs * (1 - RENEW_AFTER))
    if (lacking === 0 && due.length === 0 && this.returned.length === 0) return undefined
    this.sequence += 1
    this.askedAt = now
    this.isWaiting = true
    return { limit: this.name, sequence: this.sequence, sentAt: now, wanted: lacking, renewed: due.map(([id]) => id), returned: [...this.returned] }
  }

  /** Takes an answer to the last request; one to an earlier request is dropped, and its new loans lapse unused. */
  accept (request: LoanRequest, answer: LoanAnswer): void {
    if (request.sequence !== this.sequence) return
    this.isWaiting = false
    this.returned = this.returned.filter((id) => !request.returned.includes(id))
    for (const { id, amount, limit } of answer.loans) {
      const known = this.loans.get(id)
      this.loans.set(id, { amount, limit, until: Math.max(known?.until ?? -Infinity, request.sentAt + answer.termMs) })
    }
  }

  /** Takes over a loan that is not asked for, such as what a holder keeps when it hands a share over. */
  acceptLoan (id: string, amount: number, limit: number, until: number): void {
    this.loans.set(id, { amount, limit, until })
  }

  /** Gives everything back; the caller makes sure that no work needs it. An answer on its way can't bring a loan back to life. */
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
