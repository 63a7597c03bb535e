import type { CapView } from './capView.js'
import type { ZoneView } from './zoneView.js'

/** Input of a placement decision. */
export interface PlacementInput {
  service: string
  ownZone: string
  ownRegion: string
  /** Region nearest to the caller. */
  callerRegion: string
  /** Weights by serving region in the steering policy for the caller's region; undefined without a policy. */
  weights?: Readonly<Record<string, number>>
  /** Whether work may be sent to a region to which the policy gives no weight. */
  spill: boolean
  zones: readonly ZoneView[]
  caps: readonly CapView[]
  /** Milliseconds until the deadline. */
  remainingMs: number
  /** Expected service time, in milliseconds. */
  costMs: number
}
