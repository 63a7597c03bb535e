/** The right to run one request on a target of another host, granted by that host. */
export interface Credit {
  id: string
  target: string
  /** Monotonic milliseconds on the clock of whoever holds this object. */
  expiresAt: number
}
