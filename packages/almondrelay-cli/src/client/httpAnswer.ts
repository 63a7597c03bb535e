/** An answer from the operator port of a host. */
export interface HttpAnswer {
  status: number
  /** The body, parsed as JSON; undefined if it is empty. */
  body: unknown
  /** Address of the host that answered. */
  address: string
}
