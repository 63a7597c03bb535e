import type { CommitResult } from '../../store/commitResult.js'
import { RevisionStore } from '../../store/revisionStore.js'
import { StoreError } from '../../store/storeError.js'
import { getEventRevision } from '../../store/getEventRevision.js'
import type { StoreEvent } from '../../store/storeEvent.js'
import type { StoreItem } from '../../store/storeItem.js'
import { PageAge } from '../../store/pageAge.js'
import type { StorePage } from '../../store/storePage.js'
import type { StoreTransaction } from '../../store/storeTransaction.js'
import type { WatchResult } from '../../store/watchResult.js'

/** In-memory store with switches that simulate faults. */
export class FakeRevisionStore extends RevisionStore {
  /** Maximum number of items on a page of a listing. */
  pageItems = Infinity
  /** Every call fails without any effect. */
  isDown = false
  /** Watches answer without events, whatever has changed. */
  hidesEvents = false
  /** Watches never answer, as on a connection that is silently dead. */
  isHung = false
  /** Commits take effect and their answers are lost. */
  losesAnswers = false
  /** Number of next calls to release a lease that are lost before they take effect. */
  lostReleases = 0
  /** Number of calls that failed so far. */
  refusals = 0
  /** Number of watch calls so far. */
  watches = 0
  /** Page that listings with stale data return; undefined for current data. */
  stalePage: StorePage | undefined
  /** Number of pages listed so far that were current. */
  currentPages = 0
  private revision = 1
  private oldestRevision = 0
  private readonly items = new Map<string, { value: Buffer, revision: number, createdRevision: number, leaseId: number }>()
  private events: StoreEvent[] = []
  private leases = 0

  write (key: string, value: object, leaseId = 0): void {
    this.writeBytes(key, Buffer.from(JSON.stringify(value)), leaseId)
  }

  private findItem (key: string): StoreItem | undefined {
    const item = this.items.get(key)
    return item === undefined ? undefined : { key, value: item.value, revision: item.revision, createdRevision: item.createdRevision }
  }

  private writeBytes (key: string, bytes: Buffer, leaseId: number): void {
    this.revision += 1
    const createdRevision = this.items.get(key)?.createdRevision ?? this.revision
    this.items.set(key, { value: bytes, revision: this.revision, createdRevision, leaseId })
    this.events.push({ kind: 'written', item: { key, value: bytes, revision: this.revision, createdRevision } })
  }

  remove (key: string): void {
    this.revision += 1
    this.items.delete(key)
    this.events.push({ kind: 'deleted', key, revision: this.revision })
  }

  /** Returns all items synchronously. */
  listItems (): StoreItem[] {
    return [...this.items.keys()].flatMap((key) => this.findItem(key) ?? [])
  }

  /** Returns the changes under a prefix after a revision synchronously. */
  listEvents (prefix: string, afterRevision: number): StoreEvent[] {
    return this.events.filter((event) => getEventRevision(event) > afterRevision && getKey(event).startsWith(prefix))
  }

  /** Drops the history of all changes so far. */
  dropHistory (): void {
    this.oldestRevision = this.revision
    this.events = []
  }

  override list (prefix: string, after: string, age: PageAge): Promise<StorePage> {
    if (this.isDown) return this.refuse('list')
    if (age === PageAge.stale && this.stalePage !== undefined) return Promise.resolve(this.stalePage)
    this.currentPages += 1
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
    const items = keys.slice(0, this.pageItems).flatMap((key) => this.findItem(key) ?? [])
    return Promise.resolve({ items, revision: this.revision, isTruncated: keys.length > items.length })
  }

  override async watch (prefix: string, afterRevision: number, _waitMs: number, signal: AbortSignal): Promise<WatchResult> {
    this.watches += 1
    if (this.isHung) await waitForAbort(signal)
    await new Promise((resolve) => { setTimeout(resolve, 1) })
    if (this.isDown) return this.refuse('watch')
    if (afterRevision < this.oldestRevision) return { kind: 'history-gone' }
    const events = this.hidesEvents ? [] : this.listEvents(prefix, afterRevision)
    return { kind: 'events', events, revision: this.hidesEvents ? afterRevision : this.revision }
  }

  override get (key: string): Promise<StoreItem | undefined> {
    if (this.isDown) return this.refuse('get')
    return Promise.resolve(this.findItem(key))
  }

  override commit ({ expected, writes, deletes }: StoreTransaction): Promise<CommitResult> {
    if (this.isDown) return this.refuse('commit')
    const isMet = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return Promise.resolve({ kind: 'conflict', items: expected.flatMap(({ key }) => this.findItem(key) ?? []) })
    for (const { key, value, leaseId } of writes) this.writeBytes(key, value, leaseId)
    for (const key of deletes) this.remove(key)
    if (!this.losesAnswers) return Promise.resolve({ kind: 'done', revision: this.revision })
    return Promise.reject(new StoreError('unknown', 'commit', 'answer lost'))
  }

  override grantLease (): Promise<number> {
    if (this.isDown) return this.refuse('grant lease')
    this.leases += 1
    return Promise.resolve(this.leases)
  }

  override renewLease (): Promise<boolean> {
    return this.isDown ? this.refuse('renew lease') : Promise.resolve(true)
  }

  override releaseLease (leaseId: number): Promise<void> {
    if (this.lostReleases > 0) {
      this.lostReleases -= 1
      return Promise.reject(new StoreError('unknown', 'release lease', 'no answer'))
    }
    for (const [key, item] of this.items) if (item.leaseId === leaseId) this.remove(key)
    return Promise.resolve()
  }

  get latestRevision (): number {
    return this.revision
  }

  has (key: string): boolean {
    return this.items.has(key)
  }

  private refuse (call: string): Promise<never> {
    this.refusals += 1
    return Promise.reject(new StoreError('refused', call, 'down'))
  }
}

const waitForAbort = (signal: AbortSignal): Promise<never> => new Promise((_resolve, reject) => {
  signal.addEventListener('abort', () => { reject(new StoreError('unknown', 'watch', 'aborted')) }, { once: true })
})

const getKey = (event: StoreEvent): string => event.kind === 'written' ? event.item.key : event.key
