import type { MemberState } from './memberState.js'
import type { ServiceLoad } from './serviceLoad.js'

/** What is known of one entry host at one moment. */
export interface Member {
  host: string
  /** 0 where it was never heard. */
  incarnation: number
  availabilityZone: string
  region: string
  /** Empty where unknown. */
  callerAddress: string
  /** Empty where unknown. */
  peerAddress: string
  /** The revision in force there, as last heard. */
  revision: number
  /** Free slots and running work by service, as last heard. */
  loads: ServiceLoad[]
  state: MemberState
  /** Time since it was last heard, by this host or by one that told it, in milliseconds. */
  heardAgeMs: number
}
