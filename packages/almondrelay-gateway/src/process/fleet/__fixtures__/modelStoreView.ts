import type { CommitResult } from '../../store/commitResult.js'
import { RevisionStore } from '../../store/revisionStore.js'
import { StoreError } from '../../store/storeError.js'
import type { StoreItem } from '../../store/storeItem.js'
import type { StoreLease } from '../../store/storeLease.js'
import type { StorePage } from '../../store/storePage.js'
import type { StorePosition } from '../../store/storePosition.js'
import type { WatchResult } from '../../store/watchResult.js'
import type { FakeRevisionStore } from './fakeRevisionStore.js'
import type { SuspendableClock } from './suspendableClock.js'

const ONE_WAY_MS = 20
const CALL_TIMEOUT_MS = 1_000
const POLL_MS = 10

/** One host's calls to the store of a model, with latency and with time-outs while the host doesn't reach it. */
export class ModelStoreView extends RevisionStore {
  constructor (private readonly store: FakeRevisionStore, private readonly clock: SuspendableClock, private readonly isReachable: () => boolean) {
    super()
  }

  override list (_prefix: string, _after: string, _age: unknown, signal: AbortSignal): Promise<StorePage> {
    return this.call('list', signal, () => {
      this.store.currentPages += 1
      return Promise.resolve({ items: this.store.listItems(), position: this.store.position, isTruncated: false })
    })
  }

  override watch (_prefix: string, after: StorePosition, waitMs: number, signal: AbortSignal): Promise<WatchResult> {
    return this.call('watch', signal, async () => {
      const until = this.clock.now + waitMs
      while (this.clock.now < until && !signal.aborted && this.isUnchanged(after)) await this.clock.sleep(POLL_MS, signal)
      return this.hasHistoryFrom(after) ? { kind: 'events', events: this.store.listEvents('', after.revision), position: this.store.position } : { kind: 'history-gone' }
    })
  }

  override get (): Promise<StoreItem | undefined> {
    return Promise.resolve(undefined)
  }

  override commit (): Promise<CommitResult> {
    return Promise.resolve({ kind: 'lease-ended' })
  }

  override grantLease (): Promise<StoreLease> {
    return Promise.resolve({ id: 1, era: this.store.position.era })
  }

  /** Only tells the present era. */
  override renewLease (lease: StoreLease, signal: AbortSignal): Promise<boolean> {
    return this.call('renew lease', signal, () => Promise.resolve(lease.era === this.store.position.era))
  }

  override releaseLease (): Promise<void> {
    return Promise.resolve()
  }

  private hasHistoryFrom ({ era, revision }: StorePosition): boolean {
    return era === this.store.position.era && revision <= this.store.latestRevision
  }

  private isUnchanged (after: StorePosition): boolean {
    return this.isReachable() && this.hasHistoryFrom(after) && this.store.listEvents('', after.revision).length === 0
  }

  private async call <Result> (name: string, signal: AbortSignal, run: () => Promise<Result>): Promise<Result> {
    await this.pass(name, signal)
    const result = await run()
    const { era } = this.store.position
    await this.pass(name, signal)
    this.era.observe(era)
    if (era < this.era.current) throw new StoreError('unknown', name, 'an earlier era')
    return result
  }

  private async pass (name: string, signal: AbortSignal): Promise<void> {
    await this.clock.sleep(ONE_WAY_MS, signal)
    if (!this.isReachable()) await this.clock.sleep(CALL_TIMEOUT_MS, signal)
    if (signal.aborted || !this.isReachable()) throw new StoreError('unknown', name, 'no answer')
  }
}
