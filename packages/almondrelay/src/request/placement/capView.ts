import type { RefusalReason } from '../refusalReason.js'

/** A limit of a region, link or shift as this host may use it now. */
export interface CapView {
  /** Region that the work would come from; absent where the limit is of the region itself. */
  fromRegion?: string
  toRegion: string
  /** Requests more that this host may start under it. */
  free: number
  /** What a caller is told when it is used up. */
  reason: RefusalReason
}
