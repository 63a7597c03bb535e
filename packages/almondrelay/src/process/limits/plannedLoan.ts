import type { LoanRequest } from './loanRequest.js'

/** A request for a loan and whom to send it to. */
export interface PlannedLoan {
  /** Host of the own zone; undefined stands for the lender of the region. */
  host: string | undefined
  request: LoanRequest
}
