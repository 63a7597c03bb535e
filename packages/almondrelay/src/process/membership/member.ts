import type { MemberState } from './memberState.js'
import type { ServiceLoad } from './serviceLoad.js'

/** Snapshot of the known state of one entry host. */
export interface Member {
  host: string
  /** 0 where no report was ever received. */
  incarnation: number
  availabilityZone: string
  region: string
  /** Empty where unknown. */
  callerAddress: string
  /** Empty where unknown. */
  peerAddress: string
  /** The revision in force there, as last reported. */
  revision: number
  /** Free slots and running work by service, as last reported. */
  loads: ServiceLoad[]
  state: MemberState
  /** Age of the last report from the host, received directly or through a peer, in milliseconds. */
  heardAgeMs: number
}
