import type { ZoneUse } from './zoneUse.js'

/** The same of all zones that the sender hears. */
export type FleetUse = ZoneUse
