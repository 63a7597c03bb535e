/** The right to run one request on a target that a peer owns. */
export interface HeldCredit {
  id: string
  host: string
  target: string
  /** Monotonic milliseconds of this host, counted from the sending of the request for it. */
  expiresAt: number
}
