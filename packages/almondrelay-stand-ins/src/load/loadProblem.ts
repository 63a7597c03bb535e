/** A count that doesn't add up. */
export interface LoadProblem {
  operation: number
  message: string
}
