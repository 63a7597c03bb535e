import type { PeerReport } from './peerReport.js'

/** State of another host, as of its last report. */
export interface PeerState {
  incarnation: string
  sequence: number
  /** Time at which the report was received, in monotonic milliseconds. */
  receivedAt: number
  report: PeerReport
}
