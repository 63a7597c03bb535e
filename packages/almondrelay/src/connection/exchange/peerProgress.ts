import type { RefreshRotation } from './refreshRotation.js'

/** Records which of this host's updates a peer has. */
export interface PeerProgress {
  /** Incarnation of the peer to which this record belongs; 0 before the first message from the peer. */
  incarnation: number
  /** Number of the last update of hosts that the peer is known to have. */
  confirmed: number
  /** Number of the last update of leaving targets that the peer is known to have. */
  confirmedTargets: number
  /** Hosts known before the peer was, whose summaries are still to be sent; sent from the end of the list. */
  backlog: string[]
  /** Length of the backlog once the last answer to the peer has arrived. */
  offeredBacklogLeft: number
  /** Number of the last update of hosts in the last answer to the peer, which may not have arrived. */
  offered: number
  /** The same for updates of leaving targets. */
  offeredTargets: number
  /** Time of the last message from the peer, whether request or answer. */
  lastContactAt: number
  /** Time at which the last refresh was included in a message to the peer. */
  refreshedAt: number
  /** Selects the hosts whose summaries are sent in refreshes. */
  rotation: RefreshRotation
  /** Whether the last exchange with the peer failed, or there was none yet. */
  isBroken: boolean
  /** Revision in the last message from the peer. */
  revision: number
  /** Revision in the last message sent to the peer; a message in a failed exchange does not count. */
  sentRevision: number
  /** Time before which no changes are fetched from the peer, because its last fetch failed or did not prove the stated revision. */
  repairBlockedUntil: number
}
