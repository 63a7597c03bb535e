import type { RefreshRotation } from './refreshRotation.js'

/** How far a peer has this host's news. */
export interface PeerProgress {
  /** Incarnation of the peer that this holds for; 0 before it was heard. */
  incarnation: number
  /** News that it has for sure. */
  confirmed: number
  confirmedTargets: number
  /** Hosts known before it was, still to be told, the last one first. */
  backlog: string[]
  /** How many of these are left once the last answer to it has arrived. */
  offeredBacklogLeft: number
  /** News in the last answer to it, which it may have. */
  offered: number
  offeredTargets: number
  /** Last message from it, asked or answered. */
  contactAt: number
  refreshedAt: number
  /** The hosts that it hears of in turn. */
  rotation: RefreshRotation
  /** The last exchange with it failed, or there was none. */
  isBroken: boolean
  /** The revision that it last named. */
  revision: number
  /** The revision that it was last told of. */
  toldRevision: number
  /** It named a revision that it couldn't show; it isn't asked for changes before. */
  distrustedUntil: number
}
