/** A peer that this host keeps up an exchange with. */
export interface Neighbour {
  host: string
  peerAddress: string
  /** Time from one heartbeat to the next, in milliseconds. */
  intervalMs: number
}
