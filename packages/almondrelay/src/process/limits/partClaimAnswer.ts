import type { PartHandOver } from './partHandOver.js'
import type { RosterHost } from './rosterHost.js'

/** The answer to a PartClaim. */
export interface PartClaimAnswer {
  /** The process that answers. */
  from: RosterHost
  /** Version of the answering host's roster; 0 before it has one. */
  rosterVersion: number
  gone: RosterHost[]
  /** Whether the answering host has the same view as the claim; otherwise the answer says nothing about the parts. */
  binding: boolean
  /** Claimed parts that the answering host holds. */
  held: string[]
  handedOver: PartHandOver[]
}
