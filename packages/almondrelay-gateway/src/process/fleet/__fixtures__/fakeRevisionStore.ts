import type { AnswerTransfer } from '../../store/answerTransfer.js'
import type { CommitResult } from '../../store/commitResult.js'
import { RevisionStore } from '../../store/revisionStore.js'
import { StoreError } from '../../store/storeError.js'
import { getEventRevision } from '../../store/getEventRevision.js'
import type { StoreEvent } from '../../store/storeEvent.js'
import type { StoreItem } from '../../store/storeItem.js'
import { PageAge } from '../../store/pageAge.js'
import type { StoreLease } from '../../store/storeLease.js'
import type { StorePosition } from '../../store/storePosition.js'
import type { StorePage } from '../../store/storePage.js'
import type { StoreTransaction } from '../../store/storeTransaction.js'
import type { WatchResult } from '../../store/watchResult.js'

interface FakeItem {
  value: Buffer
  revision: number
  createdRevision: number
  leaseId: number
}

/** State of the store at one moment. */
interface StoreCopy {
  revision: number
  leases: number
  liveLeases: ReadonlySet<number>
  items: ReadonlyMap<string, FakeItem>
}

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
  /** The answers of hung watches have begun to arrive. */
  sendsPart = false
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
  private storeEra = 1
  private items = new Map<string, FakeItem>()
  private events: StoreEvent[] = []
  private leases = 0
  private liveLeases = new Set<number>()

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

  /** Writes an entry that names no target, and whose revision can't be read in the answers of the store. */
  writeUnreadable (key: string): void {
    this.revision += 1
    this.events.push({ kind: 'written', item: { key, value: Buffer.from('{}'), revision: 0, createdRevision: 0 } })
  }

  remove (key: string): void {
    this.revision += 1
    this.items.delete(key)
    this.events.push({ kind: 'deleted', key, revision: this.revision })
  }

  /** Returns the value of a key synchronously. */
  readText (key: string): string | undefined {
    return this.items.get(key)?.value.toString()
  }

  /** Returns all items synchronously. */
  listItems (): StoreItem[] {
    return [...this.items.keys()].flatMap((key) => this.findItem(key) ?? [])
  }

  /** Returns the changes under a prefix after a revision synchronously. */
  listEvents (prefix: string, afterRevision: number): StoreEvent[] {
    return this.events.filter((event) => (getEventRevision(event) > afterRevision || getEventRevision(event) === 0) && getKey(event).startsWith(prefix))
  }

  /** Drops the history of all changes so far. */
  dropHistory (): void {
    this.oldestRevision = this.revision
    this.events = []
  }

  /** Returns a copy of the present state, from which the store may return later. */
  copy (): StoreCopy {
    return { revision: this.revision, leases: this.leases, liveLeases: new Set(this.liveLeases), items: new Map(this.items) }
  }

  /** Returns from a copy: what was written since is gone, and revisions and lease ids are given out again. */
  returnFrom ({ revision, leases, liveLeases, items }: StoreCopy): void {
    this.storeEra += 1
    this.revision = revision
    this.leases = leases
    this.liveLeases = new Set(liveLeases)
    this.items = new Map(items)
    this.events = this.events.filter((event) => getEventRevision(event) <= revision)
  }

  override list (prefix: string, after: string, age: PageAge): Promise<StorePage> {
    if (this.isDown) return this.refuse('list')
    this.era.observe(this.storeEra)
    if (age === PageAge.stale && this.stalePage !== undefined) return Promise.resolve(this.stalePage)
    this.currentPages += 1
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
    const items = keys.slice(0, this.pageItems).flatMap((key) => this.findItem(key) ?? [])
    return Promise.resolve({ items, position: this.position, isTruncated: keys.length > items.length })
  }

  override async watch (prefix: string, after: StorePosition, _waitMs: number, signal: AbortSignal, transfer?: AnswerTransfer): Promise<WatchResult> {
    this.watches += 1
    if (this.isHung && this.sendsPart) transfer?.add(1)
    if (this.isHung) await waitForAbort(signal)
    await new Promise((resolve) => { setTimeout(resolve, 1) })
    if (this.isDown) return this.refuse('watch')
    this.era.observe(this.storeEra)
    if (after.revision < this.oldestRevision || after.revision > this.revision || after.era !== this.storeEra) return { kind: 'history-gone' }
    const events = this.hidesEvents ? [] : this.listEvents(prefix, after.revision)
    if (transfer?.isTooLong(countBytes(events)) === true) return { kind: 'too-long' }
    return { kind: 'events', events, position: this.hidesEvents ? after : this.position }
  }

  override get (key: string): Promise<StoreItem | undefined> {
    if (this.isDown) return this.refuse('get')
    this.era.observe(this.storeEra)
    return Promise.resolve(this.findItem(key))
  }

  override commit ({ era, expected, writes, deletes }: StoreTransaction): Promise<CommitResult> {
    if (this.isDown) return this.refuse('commit')
    const wasKnown = this.era.isKnown
    this.era.observe(this.storeEra)
    const isMet = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return Promise.resolve({ kind: 'conflict', items: expected.flatMap(({ key }) => this.findItem(key) ?? []) })
    for (const { key, value, leaseId } of writes) this.writeBytes(key, value, leaseId)
    for (const key of deletes) this.remove(key)
    if (wasKnown && era !== this.storeEra) return Promise.resolve({ kind: 'era-ended' })
    if (!this.losesAnswers) return Promise.resolve({ kind: 'done', revision: this.revision })
    return Promise.reject(new StoreError('unknown', 'commit', 'answer lost'))
  }

  override grantLease (): Promise<StoreLease> {
    if (this.isDown) return this.refuse('grant lease')
    this.era.observe(this.storeEra)
    this.leases += 1
    this.liveLeases.add(this.leases)
    return Promise.resolve({ id: this.leases, era: this.storeEra })
  }

  override renewLease ({ id, era }: StoreLease): Promise<boolean> {
    if (this.isDown) return this.refuse('renew lease')
    this.era.observe(this.storeEra)
    return Promise.resolve(era === this.storeEra && this.liveLeases.has(id))
  }

  override releaseLease ({ id, era }: StoreLease): Promise<void> {
    if (era !== this.storeEra) return Promise.resolve()
    if (this.lostReleases > 0) {
      this.lostReleases -= 1
      return Promise.reject(new StoreError('unknown', 'release lease', 'no answer'))
    }
    this.liveLeases.delete(id)
    for (const [key, item] of this.items) if (item.leaseId === id) this.remove(key)
    return Promise.resolve()
  }

  get position (): StorePosition {
    return { era: this.storeEra, revision: this.revision }
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

const countBytes = (events: readonly StoreEvent[]): number => events.reduce((sum, event) => sum + (event.kind === 'written' ? event.item.value.byteLength : 0), 0)
