import type { EventLog } from '../observe/eventLog.js'
import type { SuspectRecord } from '../quarantine/suspectRecord.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreHealth } from '../store/storeHealth.js'
import type { StorePosition } from '../store/storePosition.js'
import type { FleetCodec } from './fleetCodec.js'
import type { FleetState } from './fleetState.js'
import type { RelayedChanges } from './relayedChanges.js'

/** What a FleetFollower works on, and the host that it tells. */
export interface FollowerParts {
  store: RevisionStore
  codec: FleetCodec
  fleet: FleetState
  health: StoreHealth
  log: EventLog
  getNow: () => number
  random: () => number
  /** Resolves after `ms` milliseconds, or when the signal aborts. */
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
  ownName: string
  /** Milliseconds within which a change must be in force at every host. */
  boundMs: number
  /** Called after a new configuration has come into force. */
  handleConfiguration: () => void
  /** Called when this host's own entry was removed from the store while the host is running. */
  handleOwnEntryRemoved: () => void
  /** Called with a change of the resources that operators declare. */
  handleDeclaredChange: (revision: number, body: Buffer) => void
  /** Called with the record of a request that was running when targets exited. */
  handleSuspectRecord: (record: SuspectRecord, position: StorePosition) => void
  /** Called when such a record was removed or has expired. */
  handleSuspectRecordRemoved: (fingerprint: string) => void
  /** Called after a full read that did not reach the end of the product's own keys: there may be changes among those left out. */
  handleOmittedKeys: () => void
  /** Whether this host is one of the watchers of its region, which watch the store with short timeouts. */
  isWatcher: () => boolean
  /** Whether the other hosts of the region rely on the watchers' watches. */
  isReliedOn: () => boolean
  /** Whether this host may rely on its region's watchers and query the store only for notable changes that they report. */
  hasReliableWatchers: () => boolean
  /** Called with changes that a watcher relayed to this host: whether they were applied. */
  handleRelayedChanges: (isApplied: boolean) => void
  /** Relays changes to the other hosts of the region. */
  relay: (changes: RelayedChanges) => void
}
