import type { PlacementReason } from './placementReason.js'

/** An availability zone to try. */
export interface PlacementZone {
  availabilityZone: string
  region: string
  reason: PlacementReason
  /** Expected time on the network and in the queue, in milliseconds. */
  costMs: number
  /** Whether a credit of the zone is needed before the request is sent. */
  needsCredit: boolean
}
