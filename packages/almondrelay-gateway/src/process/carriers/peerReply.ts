import type { PeerCallFailure } from './peerCallFailure.js'

/** What became of a call to another host. */
export type PeerReply =
  | { kind: 'answered', body: Buffer }
  | { kind: 'failed', failure: PeerCallFailure, reason: string }
