import type { FleetUsage } from './fleetUsage.js'
import type { UsageTotals } from '../../request/usageTotals.js'
import type { ZoneUsage } from './zoneUsage.js'
import type { WorkReport } from '../shares/workReport.js'

/** A report of organisations' allowance usage from one host to another. */
export interface UsageReport {
  host: string
  incarnation: string
  availabilityZone: string
  /** Increases with each report of the same incarnation. */
  sequence: number
  /** Counts of the sender alone, by the hash of the organisation's name; only those that changed recently. */
  totals: ReadonlyMap<number, UsageTotals>
  /** Usage in the sender's zone, sent to the aggregators of the other zones. */
  zone: ZoneUsage | undefined
  /** Usage in all zones, sent to the hosts of the sender's zone. */
  fleet: FleetUsage | undefined
  /** Work that callers ask of services, and shares of it; absent where fair shares aren't held. */
  work?: WorkReport
}
