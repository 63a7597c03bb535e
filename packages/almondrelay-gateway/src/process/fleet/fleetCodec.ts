import type { StoreEvent } from '../store/storeEvent.js'
import type { SuspectRecord } from '../quarantine/suspectRecord.js'
import type { FleetChange } from './fleetChange.js'
import type { HostEntry } from './hostEntry.js'

/** Maps keys and values of the store to changes of the fleet, and entries and records of this host to keys and values. */
export abstract class FleetCodec {
  /** Key prefixes that together cover every key that hosts use. */
  abstract readonly prefixes: readonly string[]

  /** Prefix of the product's own keys. They sort after all other keys, and a full read stops at the page that reaches them. */
  abstract readonly productPrefix: string

  /** Returns undefined for a key that hosts do not use. */
  abstract decode (event: StoreEvent): FleetChange | undefined

  /** Whether the key that a change concerns lies under a prefix. */
  abstract isUnder (prefix: string, change: FleetChange): boolean

  /** Returns the key whose deletion is the change; undefined for a change that isn't a deletion. */
  abstract findDeletedKey (change: FleetChange): string | undefined

  abstract encodeHost (entry: HostEntry): { key: string, value: Buffer }

  abstract encodeSuspect (record: SuspectRecord): { key: string, value: Buffer }
}
