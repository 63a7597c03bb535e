import type { PeerReport } from './peerReport.js'
import type { ServiceDemand } from './serviceDemand.js'

/** State of another host, as of its last report. */
export interface PeerState {
  incarnation: string
  sequence: number
  /** Time at which the report was received, in monotonic milliseconds. */
  receivedAt: number
  report: PeerReport
  /** Demands of the last report that had any and wasn't that of a region. */
  demands: readonly ServiceDemand[]
}
