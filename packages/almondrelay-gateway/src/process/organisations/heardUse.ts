import type { ZoneUse } from './zoneUse.js'

/** What was last heard of a zone, or of all. */
export interface HeardUse {
  use: ZoneUse
  /** Milliseconds since it was heard. */
  ageMs: number
}
