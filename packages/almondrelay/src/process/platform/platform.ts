import { KeyValueStore } from './keyValueStore.js'
import type { PlatformHost } from './platformHost.js'
import type { PlatformPutResult } from './platformPutResult.js'
import type { PlatformWatchResult } from './platformWatchResult.js'

/** The platform's key-value service, with leases and watches; it reports failures as KeyValueStore does. */
export abstract class Platform extends KeyValueStore {
  /** Stores the value as KeyValueStore.put does; with a lease, the key is deleted when the lease ends. */
  abstract override put (key: string, value: string, expectedVersion: number, signal: AbortSignal, leaseId?: string): Promise<PlatformPutResult>
  /** Waits up to `waitMs` for events under a prefix after a sequence number; counts as one call. */
  abstract watch (prefix: string, afterSequence: number, waitMs: number, signal: AbortSignal): Promise<PlatformWatchResult>
  /** Creates a lease and returns its id. */
  abstract grantLease (ttlMs: number, signal: AbortSignal): Promise<string>
  /** Returns false when the lease has already expired. */
  abstract renewLease (leaseId: string, signal: AbortSignal): Promise<boolean>
  abstract releaseLease (leaseId: string, signal: AbortSignal): Promise<void>
  /** Lists live and leaving hosts and targets; the list may be out of date. */
  abstract listHosts (signal: AbortSignal): Promise<PlatformHost[]>
}
