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

interface CommitOutcome {
  isDone: boolean
  /** The record as it stands; undefined where it isn't known. */
  stored: SuspectRecord | undefined
}

/** Keeps what hosts agree on about suspects: records that outlive every host, and who may make a trial. */
export class SuspectStore {
  private readonly waiting = new Set<Suspect>()
  private isSaving = false

  constructor (private readonly parts: StoreParts, private readonly signal: AbortSignal) {}

  /** Writes the record soon; again and again while the store is away. */
  save (suspect: Suspect): void {
    if (this.waiting.size < MOST_WAITING) this.waiting.add(suspect)
    else this.parts.log.record('record of a suspect not written: too many wait', { fingerprint: suspect.fingerprint })
    if (!this.isSaving) void this.saveAll()
  }

  /** Writes the record where none is known, or where it would end though the request still comes. */
  keep (suspect: Suspect): void {
    if (suspect.recordRevision === undefined || this.parts.getNow() - suspect.recordedAt > RENEW_AFTER_MS) this.save(suspect)
  }

  /** Whether this host may send the request on once: of all hosts that ask after one pause, the store lets one. */
  async claimTrial (suspect: Suspect): Promise<boolean> {
    if (suspect.recordRevision === undefined) return false
    try {
      const record = { ...suspect.describe(), trials: suspect.trials + 1 }
      const { isDone } = await this.commit(suspect, record, AbortSignal.any([this.signal, AbortSignal.timeout(CLAIM_TIMEOUT_MS)]))
      return isDone
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
      const { isDone, stored } = await this.commit(suspect, record, AbortSignal.any([this.signal, AbortSignal.timeout(SAVE_TIMEOUT_MS)]))
      return isDone || (stored !== undefined && suspect.isWithin(stored))
    } catch (error) {
      if (!this.signal.aborted) this.parts.log.logError('record of a suspect not written', error as Error)
      return false
    }
  }

  /** Writes a record in place of the one that is known; where another host was first, takes in what that one wrote. */
  private async commit (suspect: Suspect, record: SuspectRecord, signal: AbortSignal): Promise<CommitOutcome> {
    const { store, codec, adopt } = this.parts
    const { key, value } = codec.encodeSuspect(record)
    const leaseId = await store.grantLease(RECORD_LIFE_MS, signal)
    const result = await store.commit({ expected: [{ key, revision: suspect.recordRevision ?? 0 }], writes: [{ key, value, leaseId }], deletes: [] }, signal)
    if (result.kind === 'done') {
      adopt(record, result.revision)
      return { isDone: true, stored: record }
    }
    await store.releaseLease(leaseId, signal)
    return { isDone: false, stored: result.kind === 'conflict' ? this.adoptStored(suspect, result.items[0]) : undefined }
  }

  private adoptStored (suspect: Suspect, item: StoreItem | undefined): SuspectRecord | undefined {
    const change = item === undefined ? undefined : this.parts.codec.decode({ kind: 'written', item })
    if (change?.kind !== 'suspect') {
      suspect.recordRevision = item?.revision
      return undefined
    }
    this.parts.adopt(change.record, change.revision)
    return change.record
  }
}
