import type { RefusalReason } from '../refusalReason.js'

/** This host's current share of a limit of a region, link or shift. */
export interface CapView {
  /** Region from which the work comes; undefined for the limit of a region itself. */
  fromRegion?: string
  toRegion: string
  /** Further requests that this host may start under the limit. */
  free: number
  /** Reason given to callers when the limit is used up. */
  reason: RefusalReason
}
