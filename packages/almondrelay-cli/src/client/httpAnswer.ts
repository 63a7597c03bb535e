/** The answer of an operator port. */
export interface HttpAnswer {
  status: number
  /** The body's JSON; undefined where there is none. */
  body: unknown
  /** Address of the host that answered. */
  address: string
}
