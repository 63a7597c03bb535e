import type { ZoneUse } from './zoneUse.js'

/** The last known usage of a zone, or of all zones together. */
export interface HeardUse {
  use: ZoneUse
  /** Milliseconds since the report was received. */
  ageMs: number
}
