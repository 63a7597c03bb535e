/** An answer to a question without a body. */
export interface PlainAnswer {
  status: number
  type: string
  body: string
}
