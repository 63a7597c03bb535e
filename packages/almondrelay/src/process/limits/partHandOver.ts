import type { PartGrant } from './partGrant.js'

/** A former holder's description of a part that it has handed over. */
export interface PartHandOver {
  part: string
  /** Grants from the part by the former holder that still bind. */
  grants: PartGrant[]
  /** Whether the part was handed over to the claimant since both adopted their current view, so that no other work can run on it. */
  toAsker: boolean
}
