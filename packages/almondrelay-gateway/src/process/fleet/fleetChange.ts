import type { TargetEntry } from '../../request/targetEntry.js'
import type { SteeringConfiguration } from '../../version/steeringConfiguration.js'
import type { SuspectRecord } from '../quarantine/suspectRecord.js'
import type { HostEntry } from './hostEntry.js'

/** Decoded change of one key of the store. */
export type FleetChange =
  | { kind: 'configuration', configuration: SteeringConfiguration }
  | { kind: 'target', entry: TargetEntry }
  | { kind: 'target-gone', id: string }
  | { kind: 'evacuation', availabilityZone: string, isEvacuated: boolean }
  | { kind: 'host', entry: HostEntry }
  | { kind: 'host-gone', name: string }
  /** Change of the resources that operators declare through this product. */
  | { kind: 'declared', revision: number, body: Buffer }
  /** Record of a request that was running when targets exited, with the revision of the record. */
  | { kind: 'suspect', record: SuspectRecord, revision: number }
  | { kind: 'suspect-gone', fingerprint: string }
  /** A target's entry can't be decoded: the target is not used until a valid entry is written. */
  | { kind: 'target-unreadable', id: string, key: string, reason: string }
  /** The value is not usable; the last known state of the key stays in force. */
  | { kind: 'invalid', key: string, reason: string }
