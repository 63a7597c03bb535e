import { isDeepStrictEqual } from 'node:util'
import type { Change } from '../../version/resources/change.js'
import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'
import type { Clock } from '../platform/clock.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import { changeKeys } from './changeKeys.js'
import type { ConfigurationStore } from './configurationStore.js'
import { decideWrite } from './decideWrite.js'
import { decodeChange } from './decodeChange.js'
import { encodeChange } from './encodeChange.js'
import { findTouchedResource } from './findTouchedResource.js'
import { MAX_VALUE_BYTES } from './maxValueBytes.js'
import { repairFromPlatform } from './repairFromPlatform.js'
import type { Write } from './write.js'
import type { WriteAnswer } from './writeAnswer.js'
import type { WriteOutcome } from './writeOutcome.js'

/** Time after which a write without an answer is reported as `unknown`. */
const RESOLVE_TIMEOUT_MS = 5_000
const RETRY_INTERVAL_MS = 200
/** Writes of unknown outcome that this host keeps in memory. */
const MAX_UNRESOLVED = 1_000

interface ChangeLogOptions {
  platform: KeyValueStore
  store: ConfigurationStore
  clock: Clock
}

type Creation = { state: 'mine' } | { state: 'taken', change: Change, body: string } | { state: 'unknown' }

/**
 * Operators' writes as entries of the platform's change log.
 *
 * Guards against an answer that is lost after the write took effect: change n+1 is the creation of
 * one key, which is never deleted, so the write whose id is stored under that key made the change. The key is read,
 * and the change stored there is adopted unchanged. A write that did not get its key can never take effect there
 * later, even if its message is still in transit, and is tried with the next key. Where the key can't be read, the
 * writer gets `unknown`, never a refusal.
 */
export class ChangeLog {
  /** Writes of unknown outcome, by the one revision that each can still become. */
  private readonly unresolved = new Map<string, number>()
  private readonly listeners = new Set<(revision: number) => void>()
  private last: Promise<unknown> = Promise.resolve()

  constructor (private readonly options: ChangeLogOptions) {}

  /** Submits a write. The writes of one host run one after the other, so that they do not race each other. */
  async submit (write: Write, signal: AbortSignal): Promise<WriteOutcome> {
    const deadline = this.options.clock.getNow() + RESOLVE_TIMEOUT_MS
    const begunAt = this.options.store.current.revision
    const result = this.last.then(async () => await this.submitNext(write, begunAt, deadline, signal))
    this.last = result.catch(() => {})
    return await result
  }

  /** Looks up the outcome of a write, as far as the platform can give it now. */
  async findWrite (writeId: string, signal: AbortSignal): Promise<WriteAnswer> {
    const { store } = this.options
    const known = store.findWrite(writeId)
    if (known !== undefined) return { outcome: 'accepted', revision: known }
    if (!await this.tryRepair(signal)) return { outcome: 'unknown' }
    const revision = store.findWrite(writeId)
    if (revision !== undefined) return { outcome: 'accepted', revision }
    const open = this.unresolved.get(writeId)
    if (open !== undefined && open > store.current.revision) return { outcome: 'unknown' }
    return { outcome: 'absent', revision: store.current.revision }
  }

  /** Calls the listener with the revision of each change that this host made, until the signal aborts. */
  subscribe (listener: (revision: number) => void, signal: AbortSignal): void {
    if (signal.aborted) return
    this.listeners.add(listener)
    signal.addEventListener('abort', () => this.listeners.delete(listener), { once: true })
  }

  private async submitNext (write: Write, begunAt: number, deadline: number, signal: AbortSignal): Promise<WriteOutcome> {
    const { store, clock } = this.options
    const { writeId } = write
    for (;;) {
      const known = store.findWrite(writeId)
      if (known !== undefined) return this.resolveRepeat(write, known)
      const decision = decideWrite(store.current, write, this.findConflictingRevision(write, begunAt), clock.getWallTime(), store.given)
      if ('refusal' in decision) {
        if (await this.tryAdvance(signal)) continue
        return decision.refusal
      }
      checkSize(decision.change)
      const creation = await this.create(decision.change, deadline, signal)
      if (creation.state === 'unknown') return this.keepUnresolved(writeId, decision.change.revision)
      if (creation.state === 'mine') this.adoptOwn(decision.change)
      // The log belongs to another history; the write is made in that one once this host has adopted it.
      else if (!store.adoptChange(creation.change, creation.body) && store.current.revision < creation.change.revision) return this.keepUnresolved(writeId, decision.change.revision)
    }
  }

  /** Outcome for a write id that is already in the log: an earlier copy of this write, unless the id was used for two writes. */
  private resolveRepeat (write: Write, revision: number): WriteOutcome {
    const { writeId } = write
    const made = this.options.store.listChanges(revision - 1, 1)?.[0]?.change
    if (made === undefined || isSameWrite(made, write)) return { outcome: 'accepted', writeId, revision }
    const remedy = `use a new UUID for a new write: this one made change ${revision}`
    return { outcome: 'rejected', writeId, problems: [{ path: 'Almondrelay-Write-Id', found: writeId, remedy }] }
  }

  private adoptOwn (change: Change): void {
    this.options.store.adoptChange(change)
    for (const listener of this.listeners) listener(change.revision)
  }

  /** Finds the latest change to the same resource since the write began. */
  private findConflictingRevision (write: Write, begunAt: number): number | undefined {
    const { kind, name } = findTouchedResource(write)
    const changes = this.options.store.listChanges(begunAt, Infinity) ?? []
    return changes.findLast(({ change }) => {
      const touched = findTouchedResource(change)
      return touched.kind === kind && touched.name === name
    })?.change.revision
  }

  /** Fetches the newest configuration before a refusal, as this host may lag. */
  private async tryAdvance (signal: AbortSignal): Promise<boolean> {
    const before = this.options.store.current.revision
    await this.tryRepair(signal)
    return this.options.store.current.revision > before
  }

  private async tryRepair (signal: AbortSignal): Promise<boolean> {
    try {
      await repairFromPlatform(this.options.platform, this.options.store, signal)
      return true
    } catch (error) {
      if (isUnavailable(error)) return false
      throw error
    }
  }

  private async create (change: Change, deadline: number, signal: AbortSignal): Promise<Creation> {
    const { clock } = this.options
    while (!signal.aborted && clock.getNow() < deadline) {
      const creation = await this.tryCreate(change, signal)
      if (creation.state !== 'unknown') return creation
      await clock.sleep(RETRY_INTERVAL_MS, signal)
    }
    return { state: 'unknown' }
  }

  private async tryCreate (change: Change, signal: AbortSignal): Promise<Creation> {
    const { platform } = this.options
    const key = changeKeys.makeChangeKey(change.revision)
    try {
      const result = await platform.put(key, encodeChange(change), 0, signal)
      if (result.stored) return { state: 'mine' }
      const entry = await platform.get(key, signal)
      if (entry === undefined) return { state: 'unknown' }
      return { state: 'taken', change: decodeChange(entry.value, change.revision), body: entry.value }
    } catch (error) {
      if (isUnavailable(error)) return { state: 'unknown' }
      throw error
    }
  }

  private keepUnresolved (writeId: string, revision: number): WriteOutcome {
    this.unresolved.set(writeId, revision)
    const [oldest] = this.unresolved.keys()
    if (this.unresolved.size > MAX_UNRESOLVED && oldest !== undefined) this.unresolved.delete(oldest)
    return { outcome: 'unknown', writeId }
  }
}

function isSameWrite (made: Change, write: Write): boolean {
  if (made.action === 'delete' || write.action === 'delete') return made.action === 'delete' && write.action === 'delete' && made.kind === write.kind && made.name === write.name
  const { kind, name, spec } = made.resource
  return kind === write.resource.kind && name === write.resource.name && isDeepStrictEqual(spec, write.resource.spec)
}

const isUnavailable = (error: unknown): boolean => error instanceof AlmondrelayError && error.kind === ErrorKind.platformUnavailable

function checkSize (change: Change): void {
  if (Buffer.byteLength(encodeChange(change)) <= MAX_VALUE_BYTES) return
  throw new AlmondrelayError({
    kind: ErrorKind.requestInvalid,
    message: 'the resource is longer than a megabyte',
    remedy: 'split it into several resources'
  })
}
