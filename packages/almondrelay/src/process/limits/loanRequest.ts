/** A borrower's request to the lender of one limit. */
export interface LoanRequest {
  limit: string
  /** Number of the request among those of one borrower for one limit; a repetition has the number of the first sending. */
  sequence: number
  /** Monotonic time of sending on the borrower's clock, from which terms count. */
  sentAt: number
  /** New capacity wanted. */
  wanted: number
  /** Ids of the loans to renew. */
  renewed: string[]
  /** Ids of the loans that the borrower no longer uses. */
  returned: string[]
}
