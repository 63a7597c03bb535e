import type { RelayedChanges } from '../fleet/relayedChanges.js'
import type { RequestLimitReport } from './requestLimitReport.js'
import type { StorePosition } from '../store/storePosition.js'
import type { ServiceDemand } from './serviceDemand.js'

/** The load report that a host sends to its peers. */
export interface PeerReport {
  host: string
  incarnation: string
  region: string
  sequence: number
  /** The host is shutting down; callers must not be directed to it. */
  isLeaving: boolean
  configurationVersion: number
  /** Requests of the host that are in progress at targets, by the hash of the target's incarnation. */
  inFlight: ReadonlyMap<number, number>
  /** Position of the platform's store up to which the host has seen all changes. */
  storePosition: StorePosition
  /** Position of the last change in the store that affects the host's decisions; of the same era. */
  notablePosition: StorePosition
  /** Milliseconds since the store last confirmed that the host's state is current. */
  storeAgeMs: number
  /** Revision of the operators' resources in force at the host; in a regional report, the lowest revision among the region's hosts. */
  declaredRevision: number
  /** Whether the demands are those of all hosts of the sender's region together. */
  isRegional: boolean
  /** Empty in most reports. */
  demands: readonly ServiceDemand[]
  /** Request limits that targets stated to the sender; empty in most reports. */
  requestLimits: readonly RequestLimitReport[]
  /** Hashes of the incarnations of targets that told the sender that they are leaving; empty in most reports. */
  leavingTargets: readonly number[]
  /** Hashes of the names of availability zones to whose targets the sender has lost its links; empty in most reports. */
  lostZones: readonly number[]
  /** Hashes of the incarnations of the hosts of the sender's region that have an entry and aren't heard there; empty if not regional. */
  silentHosts: readonly number[]
  /** Changes of the store that the sender relays; undefined in most reports. */
  changes: RelayedChanges | undefined
}
