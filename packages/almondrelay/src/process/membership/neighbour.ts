/** A peer with which this host exchanges heartbeats. */
export interface Neighbour {
  host: string
  peerAddress: string
  /** Time from one heartbeat to the next, in milliseconds. */
  intervalMs: number
}
