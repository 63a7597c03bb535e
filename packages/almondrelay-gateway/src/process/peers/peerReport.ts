import type { RelayedChanges } from '../fleet/relayedChanges.js'
import type { ServiceDemand } from './serviceDemand.js'

/** What a host tells its peers of itself. */
export interface PeerReport {
  host: string
  incarnation: string
  region: string
  sequence: number
  /** It is about to end; callers aren't to be sent there. */
  isLeaving: boolean
  configurationVersion: number
  /** Requests of the host at targets, by the hash of the target's life. */
  inFlight: ReadonlyMap<number, number>
  /** Revision of the platform's store up to which the host has seen all changes. */
  storeRevision: number
  /** Revision of the last change in the store by which the host decides otherwise than before. */
  notableRevision: number
  /** Milliseconds since the store last confirmed what the host knows. */
  storeAgeMs: number
  /** Revision of the operators' resources in force at the host; of a region's word, the lowest of its hosts. */
  declaredRevision: number
  /** The demands are those of all hosts of the sender's region together. */
  isRegional: boolean
  /** Empty in most reports. */
  demands: readonly ServiceDemand[]
  /** Changes of the store that the sender hands on; undefined in most reports. */
  changes: RelayedChanges | undefined
}
