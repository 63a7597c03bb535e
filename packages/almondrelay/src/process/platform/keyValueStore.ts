import type { PlatformEntry } from './platformEntry.js'
import type { PlatformPutResult } from './platformPutResult.js'

/**
 * Key-value store with compare-and-swap writes. Every method rejects with an AlmondrelayError of kind
 * `platform-unavailable` when no answer was received; a write may nevertheless have taken effect.
 */
export abstract class KeyValueStore {
  abstract get (key: string, signal: AbortSignal): Promise<PlatformEntry | undefined>
  /** Stores the value if the key's version is `expectedVersion`; 0 stands for an absent key. */
  abstract put (key: string, value: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult>
  /** Deletes the key if its version is `expectedVersion`. */
  abstract delete (key: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult>
  /** Returns up to `limit` entries under a prefix in key order, starting after the key `after`. */
  abstract list (prefix: string, after: string, limit: number, signal: AbortSignal): Promise<PlatformEntry[]>
}
