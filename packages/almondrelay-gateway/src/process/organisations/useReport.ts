import type { FleetUse } from './fleetUse.js'
import type { UseTotals } from '../../request/useTotals.js'
import type { ZoneUse } from './zoneUse.js'

/** What a host tells another one of the organisations' requests. */
export interface UseReport {
  host: string
  incarnation: string
  availabilityZone: string
  /** Rises with each report of one incarnation. */
  sequence: number
  /** Of the sender alone, by the hash of the organisation's name; only those that changed of late. */
  totals: ReadonlyMap<number, UseTotals>
  /** Of the sender's zone, to the summing hosts of the other zones. */
  zone: ZoneUse | undefined
  /** Of all zones, to the hosts of the sender's zone. */
  fleet: FleetUse | undefined
}
