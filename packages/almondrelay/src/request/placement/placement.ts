import type { RefusalReason } from '../refusalReason.js'
import type { PlacementZone } from './placementZone.js'

/** Where a request may go, best first, or why nowhere. */
export type Placement =
  | { kind: 'zones', zones: PlacementZone[] }
  | { kind: 'refuse', reason: RefusalReason, retryAfterMs: number }
