import type { ZoneUse } from './zoneUse.js'

/** Allowance usage of organisations in all zones from which the sender receives reports. */
export type FleetUse = ZoneUse
