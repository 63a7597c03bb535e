interface LoanTerms {
  id: string
  amount: number
  /** The limit's size when the capacity was lent. */
  limit: number
}

/** A lender's answer to a LoanRequest. */
export interface LoanAnswer {
  termMs: number
  /** New and renewed loans. */
  loans: LoanTerms[]
}
