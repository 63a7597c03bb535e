import type { RosterHost } from './rosterHost.js'

/** A host's question to another member of its zone: do you hold any of these parts, which fall to me? */
export interface PartClaim {
  /** Version of the asker's roster. */
  rosterVersion: number
  /** Members of that roster that are gone by definitive evidence. */
  gone: RosterHost[]
  parts: string[]
  /** Every other member has answered, so that a holder which gives its parts up gives them up to a host that can use them. */
  ready: boolean
}
