import type { RosterHost } from './rosterHost.js'

/** A host's message to another member of its zone, asking whether that member holds any of the parts for which the sender ranks as holder. */
export interface PartClaim {
  /** Version of the sender's roster. */
  rosterVersion: number
  /** Members of that roster that are gone by definitive evidence. */
  gone: RosterHost[]
  parts: string[]
  /** Whether every other member has answered. A holder hands parts over only then, so that the claimant can use them at once. */
  ready: boolean
}
