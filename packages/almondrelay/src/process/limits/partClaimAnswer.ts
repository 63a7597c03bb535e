import type { PartHandOver } from './partHandOver.js'
import type { RosterHost } from './rosterHost.js'

/** The answer to a claim. It binds only while its view is also the asker's. */
export interface PartClaimAnswer {
  /** The process that answers. */
  from: RosterHost
  /** Version of the answerer's roster; 0 when it can't answer at the asker's view. */
  rosterVersion: number
  gone: RosterHost[]
  /** Parts among those asked for that the answerer holds. */
  held: string[]
  handedOver: PartHandOver[]
}
