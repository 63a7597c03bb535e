import { KeyValueStore } from './keyValueStore.js'
import type { PlatformHost } from './platformHost.js'
import type { PlatformPutResult } from './platformPutResult.js'
import type { PlatformWatchResult } from './platformWatchResult.js'

/** The platform's key-value service, with leases and watches; its failures are those of a KeyValueStore. */
export abstract class Platform extends KeyValueStore {
  /** As any put; with a lease, the key vanishes when the lease ends. */
  abstract override put (key: string, value: string, expectedVersion: number, signal: AbortSignal, leaseId?: string): Promise<PlatformPutResult>
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
