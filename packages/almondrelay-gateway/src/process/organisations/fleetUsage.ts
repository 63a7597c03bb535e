import type { ZoneUsage } from './zoneUsage.js'

/** Allowance usage of organisations in all zones from which the sender receives reports. */
export type FleetUsage = ZoneUsage
