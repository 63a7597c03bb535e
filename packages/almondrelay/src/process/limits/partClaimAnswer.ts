import type { PartHandOver } from './partHandOver.js'
import type { RosterHost } from './rosterHost.js'

/** The answer to a claim. It binds only while its view is also the asker's. */
export interface PartClaimAnswer {
  /** Version of the answerer's roster; 0 before it has one. */
  rosterVersion: number
  gone: RosterHost[]
  /** Parts among those asked for that the answerer holds. */
  held: string[]
  handedOver: PartHandOver[]
}
