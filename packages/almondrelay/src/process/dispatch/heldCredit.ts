/** A credit that a peer has granted this host: the right to run one request on a target that the peer owns. */
export interface HeldCredit {
  id: string
  host: string
  target: string
  /** Expiry on this host's monotonic clock, in milliseconds; the validity counts from when the credit was requested. */
  expiresAt: number
}
