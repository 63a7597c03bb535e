interface LoanTerms {
  id: string
  amount: number
  /** The limit's size when the capacity was lent. */
  limit: number
}

/** A lender's answer. */
export interface LoanAnswer {
  termMs: number
  /** New loans and those prolonged. */
  loans: LoanTerms[]
}
