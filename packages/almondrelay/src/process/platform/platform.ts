import type { PlatformEntry } from './platformEntry.js'
import type { PlatformHost } from './platformHost.js'
import type { PlatformPutResult } from './platformPutResult.js'
import type { PlatformWatchResult } from './platformWatchResult.js'

/**
 * The platform's key-value service. Every method rejects with an AlmondrelayError of kind
 * `platform-unavailable` when no answer came; a write may then have taken effect.
 */
export abstract class Platform {
  abstract get (key: string, signal: AbortSignal): Promise<PlatformEntry | undefined>
  /** Stores the value if the key's version is `expectedVersion`; 0 stands for an absent key. */
  abstract put (key: string, value: string, expectedVersion: number, signal: AbortSignal, leaseId?: string): Promise<PlatformPutResult>
  /** Deletes the key if its version is `expectedVersion`. */
  abstract delete (key: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult>
  /** Entries under a prefix in key order, at most `limit`, after the key `after`. */
  abstract list (prefix: string, after: string, limit: number, signal: AbortSignal): Promise<PlatformEntry[]>
  /** Waits up to `waitMs` for events under a prefix after a sequence; counts as one call. */
  abstract watch (prefix: string, afterSequence: number, waitMs: number, signal: AbortSignal): Promise<PlatformWatchResult>
  /** Creates a lease and returns its id. */
  abstract grantLease (ttlMs: number, signal: AbortSignal): Promise<string>
  /** False when the lease had lapsed. */
  abstract renewLease (leaseId: string, signal: AbortSignal): Promise<boolean>
  abstract releaseLease (leaseId: string, signal: AbortSignal): Promise<void>
  /** Live and leaving hosts and targets; lags. */
  abstract listHosts (signal: AbortSignal): Promise<PlatformHost[]>
}
