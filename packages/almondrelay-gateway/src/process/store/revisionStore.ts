import type { CommitResult } from './commitResult.js'
import type { StoreItem } from './storeItem.js'
import type { PageAge } from './pageAge.js'
import type { StorePage } from './storePage.js'
import type { StoreTransaction } from './storeTransaction.js'
import type { WatchResult } from './watchResult.js'

/**
 * The platform's key-value store, in which a single counter of revisions rises with each change. Every method
 * rejects with a StoreError, whose kind says whether the call may have taken effect.
 */
export abstract class RevisionStore {
  /** Undefined where the key doesn't exist; as new as any answered write. */
  abstract get (key: string, signal: AbortSignal): Promise<StoreItem | undefined>
  /** Keys under a prefix, in order, after the key `after`, as `age` says. */
  abstract list (prefix: string, after: string, age: PageAge, signal: AbortSignal): Promise<StorePage>
  /** Waits up to `waitMs` for changes under a prefix after a revision. */
  abstract watch (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<WatchResult>
  abstract commit (transaction: StoreTransaction, signal: AbortSignal): Promise<CommitResult>
  /** Creates a lease and returns its id. */
  abstract grantLease (ttlMs: number, signal: AbortSignal): Promise<number>
  /** False where the lease has ended. */
  abstract renewLease (leaseId: number, signal: AbortSignal): Promise<boolean>
  abstract releaseLease (leaseId: number, signal: AbortSignal): Promise<void>
}
