import type { ZoneUsage } from './zoneUsage.js'

/** The last known usage of a zone, or of all zones together. */
export interface UsageSnapshot {
  use: ZoneUsage
  /** Milliseconds since the report was received. */
  ageMs: number
}
