import { AlmondrelayError, ErrorKind, KeyValueStore, type PlatformEntry, type PlatformPutResult } from 'almondrelay'
import { PageAge } from './pageAge.js'
import type { RevisionStore } from './revisionStore.js'
import { StoreError } from './storeError.js'
import { storedText } from './storedText.js'
import type { StoreItem } from './storeItem.js'

/** Key-value store for the product's own keys, on the platform's store: a key's version is the revision of its last change. */
export class StoreKeyValues extends KeyValueStore {
  /** @param prefix prefix of all of the product's own keys in the platform's store */
  constructor (private readonly store: RevisionStore, private readonly prefix: string) {
    super()
  }

  override async get (key: string, signal: AbortSignal): Promise<PlatformEntry | undefined> {
    const item = await callStore(this.store.get(this.prefix + key, signal))
    return item === undefined ? undefined : await this.decodeItem(item)
  }

  override async put (key: string, value: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult> {
    const write = { key: this.prefix + key, value: await storedText.encode(value), leaseId: 0 }
    return await this.commit(key, expectedVersion, { writes: [write], deletes: [] }, signal)
  }

  override async delete (key: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult> {
    return await this.commit(key, expectedVersion, { writes: [], deletes: [this.prefix + key] }, signal)
  }

  override async list (prefix: string, after: string, limit: number, signal: AbortSignal): Promise<PlatformEntry[]> {
    const page = await callStore(this.store.list(this.prefix + prefix, after === '' ? '' : this.prefix + after, PageAge.current, signal))
    return await Promise.all(page.items.slice(0, limit).map((item) => this.decodeItem(item)))
  }

  private async commit (key: string, expectedVersion: number, change: Pick<Parameters<RevisionStore['commit']>[0], 'writes' | 'deletes'>, signal: AbortSignal): Promise<PlatformPutResult> {
    const expected = [{ key: this.prefix + key, revision: expectedVersion }]
    const result = await callStore(this.store.commit({ era: this.store.era.current, expected, ...change }, signal))
    if (result.kind === 'era-ended') throw makeUnavailable(`${key}: the store has returned from a copy in the meantime`)
    if (result.kind === 'done') return { stored: true, version: result.revision }
    return { stored: false, version: result.kind === 'conflict' ? result.items[0]?.revision ?? 0 : 0 }
  }

  private async decodeItem ({ key, value, revision }: StoreItem): Promise<PlatformEntry> {
    return { key: key.slice(this.prefix.length), value: await storedText.decode(value), version: revision }
  }
}

const callStore = async <Result>(call: Promise<Result>): Promise<Result> => {
  try {
    return await call
  } catch (error) {
    if (!(error instanceof StoreError)) throw error
    throw makeUnavailable(error.message, error)
  }
}

const makeUnavailable = (message: string, cause?: Error): AlmondrelayError =>
  new AlmondrelayError({ kind: ErrorKind.platformUnavailable, message, remedy: 'try again; the write id tells later whether it was made', ...(cause === undefined ? {} : { cause }) })
