import type { ServiceLoad } from './serviceLoad.js'

/** State of a host that a host reports to a peer: its own, or that of a third host. */
export interface Summary {
  host: string
  /** 0 where only settings or the host list name it. */
  incarnation: number
  availabilityZone: string
  region: string
  callerAddress: string
  peerAddress: string
  revision: number
  /** The host announced that it takes no new work. */
  isLeaving: boolean
  /** Definitive evidence shows that this incarnation has exited. */
  isGone: boolean
  /** A neighbour of the host has no recent report from it: this only makes the host suspected and frees nothing. */
  isSilent: boolean
  /** Age of the last report of the host when this summary was sent, in milliseconds. */
  ageMs: number
  loads: ServiceLoad[]
}
