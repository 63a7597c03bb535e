import type { PlacementReason } from './placementReason.js'

/** One zone to try. */
export interface PlacementZone {
  availabilityZone: string
  region: string
  reason: PlacementReason
  /** Expected time lost on the way and in the queue, in milliseconds. */
  costMs: number
  /** A credit of that zone is needed before the request leaves. */
  needsCredit: boolean
}
