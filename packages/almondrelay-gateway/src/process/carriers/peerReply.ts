import type { PeerCallFailure } from './peerCallFailure.js'

/** What became of a call to another host. */
export type PeerReply =
  | {
    kind: 'answered'
    body: Buffer
    /** Closes the connection on which the answer came: one that isn't the call's own leaves open whose the next one would be. */
    closeConnection: () => void
  }
  | { kind: 'failed', failure: PeerCallFailure, reason: string }
