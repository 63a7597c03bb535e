import type { PlatformEntry } from './platformEntry.js'
import type { PlatformPutResult } from './platformPutResult.js'

/**
 * Keys with values that change by compare-and-swap. Every method rejects with an AlmondrelayError of kind
 * `platform-unavailable` when no answer came; a write may then have taken effect.
 */
export abstract class KeyValueStore {
  abstract get (key: string, signal: AbortSignal): Promise<PlatformEntry | undefined>
  /** Stores the value if the key's version is `expectedVersion`; 0 stands for an absent key. */
  abstract put (key: string, value: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult>
  /** Deletes the key if its version is `expectedVersion`. */
  abstract delete (key: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult>
  /** Entries under a prefix in key order, at most `limit`, after the key `after`. */
  abstract list (prefix: string, after: string, limit: number, signal: AbortSignal): Promise<PlatformEntry[]>
}
