import type { TargetEntry } from '../../request/targetEntry.js'
import type { SteeringConfiguration } from '../../version/steeringConfiguration.js'
import type { SuspectRecord } from '../quarantine/suspectRecord.js'
import type { HostEntry } from './hostEntry.js'

/** What a key of the store says, decoded. */
export type FleetChange =
  | { kind: 'configuration', configuration: SteeringConfiguration }
  | { kind: 'target', entry: TargetEntry }
  | { kind: 'target-gone', id: string }
  | { kind: 'evacuation', availabilityZone: string, isEvacuated: boolean }
  | { kind: 'host', entry: HostEntry }
  | { kind: 'host-gone', name: string }
  /** A change of the resources that operators declare here. */
  | { kind: 'declared', revision: number, body: Buffer }
  /** Targets ended under a request; the revision is that of the record. */
  | { kind: 'suspect', record: SuspectRecord, revision: number }
  | { kind: 'suspect-gone', fingerprint: string }
  /** The entry of a target can't be read: it names no target to use until it is written anew. */
  | { kind: 'target-unreadable', id: string, key: string, reason: string }
  /** The value can't be used; what was known of the key stays in force. */
  | { kind: 'invalid', key: string, reason: string }
