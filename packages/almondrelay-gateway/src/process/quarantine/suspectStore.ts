import { computeRetryPause } from '../../request/computeRetryPause.js'
import type { FleetCodec } from '../fleet/fleetCodec.js'
import type { EventLog } from '../observe/eventLog.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreItem } from '../store/storeItem.js'
import type { Suspect } from './suspect.js'
import type { SuspectRecord } from './suspectRecord.js'

/** Life, in milliseconds, of a record of which nothing is heard any more: the longest that the platform grants. */
const RECORD_LIFE_MS = 600_000
/** Age, in milliseconds, from which on a call for the request renews its record. */
const RENEW_AFTER_MS = 240_000
/** Milliseconds for the answer to the claim of a trial, while its caller waits. */
const CLAIM_TIMEOUT_MS = 500
/** Milliseconds for the answers to the writing of a record. */
const SAVE_TIMEOUT_MS = 3_000
/** Milliseconds before a record that could not be written is tried again, doubled up to the longest. */
const RETRY = { firstMs: 300, longestMs: 2_000 }
/** Records that wait to be written. */
const MOST_WAITING = 200

interface StoreParts {
  store: RevisionStore
  codec: FleetCodec
  log: EventLog
  getNow: () => number
  random: () => number
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
  /** Called with a record as it stands in the store. */
  adopt: (record: SuspectRecord, revision: number) => void
}

/** Keeps what hosts agree on about suspects: records that outlive every host, and who may make a trial. */
export class SuspectStore {
  private readonly waiting = new Set<Suspect>()
  /** The record that another host wrote first, as last seen. */
  private readonly stored = new WeakMap<Suspect, SuspectRecord>()
  private readonly writtenAt = new Map<string, number>()
  private isSaving = false

  constructor (private readonly parts: StoreParts, private readonly signal: AbortSignal) {}

  /** Writes the record soon; again and again while the store is away. */
  save (suspect: Suspect): void {
    if (this.waiting.size < MOST_WAITING) this.waiting.add(suspect)
    if (!this.isSaving) void this.saveAll()
  }

  /** Writes the record where none is known, or where it would end though the request still comes. */
  keep (suspect: Suspect): void {
    const age = this.parts.getNow() - (this.writtenAt.get(suspect.fingerprint) ?? -Infinity)
    if (suspect.recordRevision === undefined || age > RENEW_AFTER_MS) this.save(suspect)
  }

  /** A record was written, by whatever host. */
  observeWritten (fingerprint: string, now: number): void {
    for (const [each, at] of this.writtenAt) if (now - at > RECORD_LIFE_MS) this.writtenAt.delete(each)
    this.writtenAt.set(fingerprint, now)
  }

  /** Whether this host may send the request on once: of all hosts that ask after one pause, the store lets one. */
  async claimTrial (suspect: Suspect): Promise<boolean> {
    if (suspect.recordRevision === undefined) return false
    try {
      const record = { ...suspect.describe(), trials: suspect.trials + 1 }
      return await this.commit(suspect, record, AbortSignal.any([this.signal, AbortSignal.timeout(CLAIM_TIMEOUT_MS)]))
    } catch (error) {
      this.parts.log.logError('trial of a quarantined request not claimed', error as Error)
      return false
    }
  }

  private async saveAll (): Promise<void> {
    this.isSaving = true
    let failures = 0
    for (let [suspect] = this.waiting; suspect !== undefined && !this.signal.aborted; [suspect] = this.waiting) {
      this.waiting.delete(suspect)
      failures = await this.trySave(suspect) ? 0 : failures + 1
      if (failures === 0) continue
      this.waiting.add(suspect)
      await this.parts.sleep(computeRetryPause(RETRY, failures, this.parts.random()), this.signal)
    }
    this.isSaving = false
  }

  private async trySave (suspect: Suspect): Promise<boolean> {
    try {
      const record = { ...suspect.describe(), trials: suspect.trials }
      return await this.commit(suspect, record, AbortSignal.any([this.signal, AbortSignal.timeout(SAVE_TIMEOUT_MS)])) || this.isStored(suspect)
    } catch (error) {
      if (!this.signal.aborted) this.parts.log.logError('record of a suspect not written', error as Error)
      return false
    }
  }

  /** Writes a record in place of the one that is known; false where another host was first, whose record is then known. */
  private async commit (suspect: Suspect, record: SuspectRecord, signal: AbortSignal): Promise<boolean> {
    const { store, codec } = this.parts
    const { key, value } = codec.encodeSuspect(record)
    const leaseId = await store.grantLease(RECORD_LIFE_MS, signal)
    const result = await store.commit({ expected: [{ key, revision: suspect.recordRevision ?? 0 }], writes: [{ key, value, leaseId }], deletes: [] }, signal)
    if (result.kind === 'done') {
      this.parts.adopt(record, result.revision)
      return true
    }
    await store.releaseLease(leaseId, signal)
    if (result.kind === 'conflict') this.adoptStored(suspect, result.items[0])
    return false
  }

  private adoptStored (suspect: Suspect, item: StoreItem | undefined): void {
    const change = item === undefined ? undefined : this.parts.codec.decode({ kind: 'written', item })
    if (change?.kind === 'suspect') {
      this.stored.set(suspect, change.record)
      this.parts.adopt(change.record, change.revision)
    } else suspect.recordRevision = item?.revision
  }

  private isStored (suspect: Suspect): boolean {
    const record = this.stored.get(suspect)
    return record !== undefined && suspect.isWithin(record)
  }
}
