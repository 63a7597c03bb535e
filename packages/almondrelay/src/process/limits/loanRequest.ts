/** What a borrower asks of the lender of one limit. */
export interface LoanRequest {
  limit: string
  /** Counts the requests of one borrower for one limit; a repeat has the number of the first. */
  sequence: number
  /** Monotonic time of sending on the borrower's clock, from which terms count. */
  sentAt: number
  /** New capacity wanted. */
  wanted: number
  /** Loans to be prolonged. */
  renewed: string[]
  /** Loans that the borrower uses no more. */
  returned: string[]
}
