import type { RefusalReason } from '../refusalReason.js'
import type { PlacementZone } from './placementZone.js'

/** The zones to which a request may be sent, best first, or the reason why there is none. */
export type Placement =
  | { kind: 'zones', zones: PlacementZone[] }
  | { kind: 'refuse', reason: RefusalReason, retryAfterMs: number }
