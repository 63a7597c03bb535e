import type { AnswerTransfer } from './answerTransfer.js'
import type { CommitResult } from './commitResult.js'
import type { StoreItem } from './storeItem.js'
import type { PageAge } from './pageAge.js'
import type { StorePage } from './storePage.js'
import { StoreEra } from './storeEra.js'
import type { StoreLease } from './storeLease.js'
import type { StorePosition } from './storePosition.js'
import type { StoreTransaction } from './storeTransaction.js'
import type { WatchResult } from './watchResult.js'

/**
 * The platform's key-value store, with a single revision counter that increases with each change within an era. If a call fails, every
 * method rejects with a StoreError, whose kind says whether the call may have taken effect. So does an answer of an earlier era than
 * another answer before it.
 */
export abstract class RevisionStore {
  /** Era of the last answer. */
  readonly era = new StoreEra()
  /** Returns the current item of a key, every write answered before included; undefined if the key doesn't exist. */
  abstract get (key: string, signal: AbortSignal): Promise<StoreItem | undefined>
  /** Lists a page of the keys under a prefix, in order, starting after the key `after`; `age` says how old the page may be. */
  abstract list (prefix: string, after: string, age: PageAge, signal: AbortSignal): Promise<StorePage>
  /**
   * Waits up to `waitMs` milliseconds for changes under a prefix after a position.
   *
   * @param transfer kept up to date while the answer arrives; it says how long the answer may be
   */
  abstract watch (prefix: string, after: StorePosition, waitMs: number, signal: AbortSignal, transfer?: AnswerTransfer): Promise<WatchResult>
  abstract commit (transaction: StoreTransaction, signal: AbortSignal): Promise<CommitResult>
  abstract grantLease (ttlMs: number, signal: AbortSignal): Promise<StoreLease>
  /** Returns false if the lease has expired, was released or is of an earlier era. */
  abstract renewLease (lease: StoreLease, signal: AbortSignal): Promise<boolean>
  /** Releases a lease; has no effect on one of an earlier era. */
  abstract releaseLease (lease: StoreLease, signal: AbortSignal): Promise<void>
}
