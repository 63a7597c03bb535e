import type { PeerReport } from './peerReport.js'

/** What was last heard of another host. */
export interface PeerState {
  incarnation: string
  sequence: number
  /** Monotonic milliseconds. */
  heardAt: number
  report: PeerReport
}
