import type { PartHandOver } from './partHandOver.js'
import type { RosterHost } from './rosterHost.js'

/** The answer to a claim. */
export interface PartClaimAnswer {
  /** The process that answers. */
  from: RosterHost
  /** Version of the answerer's roster; 0 before it has one. */
  rosterVersion: number
  gone: RosterHost[]
  /** Whether the answerer's view is the claim's; otherwise nothing is said of the parts. */
  binding: boolean
  /** Parts among those asked for that the answerer holds. */
  held: string[]
  handedOver: PartHandOver[]
}
