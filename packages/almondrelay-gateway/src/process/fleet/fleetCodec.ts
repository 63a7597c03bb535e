import type { StoreEvent } from '../store/storeEvent.js'
import type { SuspectRecord } from '../quarantine/suspectRecord.js'
import type { FleetChange } from './fleetChange.js'
import type { HostEntry } from './hostEntry.js'

/** Which keys of the store hold what, and how their values are written. */
export abstract class FleetCodec {
  /** Prefixes that together hold every key that matters. */
  abstract readonly prefixes: readonly string[]

  /** Begins the keys of the product's own. They come after all others, and a full read ends at the first. */
  abstract readonly productPrefix: string

  /** Undefined for a key that means nothing to a host. */
  abstract decode (event: StoreEvent): FleetChange | undefined

  /** Whether the key of what a change is about stands under a prefix. */
  abstract isUnder (prefix: string, change: FleetChange): boolean

  abstract encodeHost (entry: HostEntry): { key: string, value: Buffer }

  abstract encodeSuspect (record: SuspectRecord): { key: string, value: Buffer }
}
