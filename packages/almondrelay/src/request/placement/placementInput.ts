import type { CapView } from './capView.js'
import type { ZoneView } from './zoneView.js'

/** What a placement is decided on. */
export interface PlacementInput {
  service: string
  ownZone: string
  ownRegion: string
  /** Region that the caller is nearest to. */
  callerRegion: string
  /** Weight by serving region, of the steering policy for the caller's region; absent where there is none. */
  weights?: Readonly<Record<string, number>>
  /** Whether work may go to a region that the policy gives no weight. */
  spill: boolean
  zones: readonly ZoneView[]
  caps: readonly CapView[]
  /** Milliseconds that remain for the answer. */
  remainingMs: number
  /** Expected service time, in milliseconds. */
  costMs: number
}
