import { computeRetryDelay } from '../../request/computeRetryDelay.js'
import type { FleetCodec } from '../fleet/fleetCodec.js'
import type { EventLog } from '../observe/eventLog.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StorePosition } from '../store/storePosition.js'
import type { StoreItem } from '../store/storeItem.js'
import type { Suspect } from './suspect.js'
import type { SuspectRecord } from './suspectRecord.js'

/** Lease of a record in milliseconds, after which it lapses unless it is written again: the longest that the platform grants. */
const RECORD_LEASE_MS = 600_000
/** Age of a record in milliseconds above which a call for the request renews it. */
const RENEWAL_AGE_MS = 240_000
/** Timeout in milliseconds for claiming a trial; the caller of the request waits meanwhile. */
const CLAIM_TIMEOUT_MS = 500
/** Timeout in milliseconds for writing a record. */
const SAVE_TIMEOUT_MS = 3_000
/** Milliseconds over which the hosts spread their writes after the store has returned from a copy. */
const RESTORE_SPREAD_MS = 3_000
/** Delay in milliseconds before a failed write is retried, doubled with each failure up to the longest. */
const RETRY_DELAY = { firstMs: 300, longestMs: 2_000 }
/** Maximum number of records that wait to be written. */
const MAX_QUEUED_RECORDS = 200

interface StoreParts {
  store: RevisionStore
  codec: FleetCodec
  log: EventLog
  getNow: () => number
  random: () => number
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
  /** Called with a record as it is stored. */
  adoptRecord: (record: SuspectRecord, position: StorePosition) => void
}

interface CommitOutcome {
  isDone: boolean
  /** The stored record; undefined if it is unknown. */
  stored: SuspectRecord | undefined
}

/**
 * Stores what hosts share about suspects: records that outlive every host, with the number of trials, by which the store grants each trial
 * to one host.
 */
export class SuspectStore {
  private readonly waiting = new Set<Suspect>()
  private isSaving = false

  constructor (private readonly parts: StoreParts, private readonly signal: AbortSignal) {}

  /** Queues the record for writing. Writes are retried while the store is unavailable. */
  save (suspect: Suspect): void {
    if (this.waiting.size < MAX_QUEUED_RECORDS) this.waiting.add(suspect)
    else this.parts.log.record('record of a suspect not written: write queue is full', { fingerprint: suspect.fingerprint })
    if (!this.isSaving) void this.saveAll()
  }

  /** Writes the record if none is known, or if it would lapse although the request still arrives. */
  keep (suspect: Suspect): void {
    if (suspect.recordPosition === undefined || this.parts.getNow() - suspect.recordedAt > RENEWAL_AGE_MS) this.save(suspect)
  }

  /**
   * Writes the records that the store has lost by its return from a copy. All hosts know them: each waits for a random time, in which it
   * learns which of them others have written.
   */
  async restore (listSuspects: () => readonly Suspect[]): Promise<void> {
    const { store, random, sleep } = this.parts
    await sleep(RESTORE_SPREAD_MS * random(), this.signal)
    for (const suspect of listSuspects()) if (!suspect.isStoredIn(store.era.current)) this.save(suspect)
  }

  /** Claims the right to send the request once. Of all hosts that claim a trial after the same delay, the store grants it to one. */
  async claimTrial (suspect: Suspect): Promise<boolean> {
    if (suspect.recordPosition === undefined) return false
    try {
      const record = { ...suspect.describe(), trials: suspect.trials + 1 }
      const { isDone } = await this.commit(suspect, record, AbortSignal.any([this.signal, AbortSignal.timeout(CLAIM_TIMEOUT_MS)]))
      return isDone
    } catch (error) {
      this.parts.log.logError('could not claim the trial of a quarantined request', error as Error)
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
      await this.parts.sleep(computeRetryDelay(RETRY_DELAY, failures, this.parts.random()), this.signal)
    }
    this.isSaving = false
  }

  private async trySave (suspect: Suspect): Promise<boolean> {
    try {
      const record = { ...suspect.describe(), trials: suspect.trials }
      const { isDone, stored } = await this.commit(suspect, record, AbortSignal.any([this.signal, AbortSignal.timeout(SAVE_TIMEOUT_MS)]))
      return isDone || (stored !== undefined && suspect.isContainedIn(stored))
    } catch (error) {
      if (!this.signal.aborted) this.parts.log.logError('could not write the record of a suspect; retrying', error as Error)
      return false
    }
  }

  /** Replaces the known record in the store. If another host was first, adopts the record that it wrote. */
  private async commit (suspect: Suspect, record: SuspectRecord, signal: AbortSignal): Promise<CommitOutcome> {
    const { store, codec, adoptRecord } = this.parts
    const { key, value } = codec.encodeSuspect(record)
    const lease = await store.grantLease(RECORD_LEASE_MS, signal)
    const known = suspect.recordPosition
    const revision = known?.era === lease.era ? known.revision : 0
    const result = await store.commit({ era: lease.era, expected: [{ key, revision }], writes: [{ key, value, leaseId: lease.id }], deletes: [] }, signal)
    if (result.kind === 'done') {
      adoptRecord(record, { era: lease.era, revision: result.revision })
      return { isDone: true, stored: record }
    }
    await store.releaseLease(lease, signal)
    return { isDone: false, stored: result.kind === 'conflict' ? this.adoptStored(suspect, result.items[0], lease.era) : undefined }
  }

  private adoptStored (suspect: Suspect, item: StoreItem | undefined, era: number): SuspectRecord | undefined {
    const change = item === undefined ? undefined : this.parts.codec.decode({ kind: 'written', item })
    if (change?.kind !== 'suspect') {
      suspect.recordPosition = item === undefined ? undefined : { era, revision: item.revision }
      return undefined
    }
    this.parts.adoptRecord(change.record, { era, revision: change.revision })
    return change.record
  }
}
