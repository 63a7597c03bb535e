import type { ServiceLoad } from './serviceLoad.js'

/** What one host tells another of a third, or of itself. */
export interface Summary {
  host: string
  /** 0 where only settings or the host list name it. */
  incarnation: number
  availabilityZone: string
  region: string
  callerAddress: string
  peerAddress: string
  revision: number
  /** It announced that it takes no new work. */
  isLeaving: boolean
  /** Definitive evidence says that this incarnation has ended. */
  isGone: boolean
  /** A neighbour of it finds it silent: a hint, which frees nothing. */
  isSilent: boolean
  /** Age of this knowledge when it was sent, in milliseconds. */
  ageMs: number
  loads: ServiceLoad[]
}
