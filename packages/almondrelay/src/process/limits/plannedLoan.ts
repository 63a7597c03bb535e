import type { LoanRequest } from './loanRequest.js'

/** A request for a loan and the host to send it to. */
export interface PlannedLoan {
  /** Name of a host of the own zone; undefined stands for the lender of the region. */
  host: string | undefined
  request: LoanRequest
}
