import { sleepFor } from 'almondrelay'
import { computeRetryDelay } from '../../request/computeRetryDelay.js'
import type { EventLog } from '../observe/eventLog.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { StoreLease } from '../store/storeLease.js'
import type { FleetCodec } from './fleetCodec.js'
import type { HostEntry } from './hostEntry.js'

/** Lifetime of the entry without a renewal, in milliseconds: look-ups name a host that has exited for no longer than this. */
const LEASE_TTL_MS = 4_000
/** Milliseconds between renewals: two in a row may be lost before the lease expires. */
const RENEWAL_INTERVAL_MS = 1_300
/**
 * Delay before a failed call is retried, in milliseconds: doubled with each failure up to the maximum, with jitter. During an
 * outage every host of the fleet calls the store this often in vain.
 */
const RETRY_DELAY = { firstMs: 300, longestMs: 2_400 }
/** Timeout of a call to release the lease at a stop, in milliseconds. */
const RELEASE_TIMEOUT_MS = 600
/** Maximum number of such calls: with the timeout above, all end before the host stops accepting callers. */
const MAX_RELEASE_ATTEMPTS = 4

/** Milliseconds per host over which the hosts spread their writes after the store has returned from a copy, and their maximum. */
const RETURN_SPREAD_PER_HOST_MS = 5
const MAX_RETURN_SPREAD_MS = 2_000

interface AnnouncerParts {
  store: RevisionStore
  codec: FleetCodec
  entry: HostEntry
  log: EventLog
  random: () => number
}

/** Keeps this host's entry in the store for as long as the host serves. */
export class HostAnnouncer {
  /** Lease of the entry; undefined while the entry is not known to exist. */
  private lease: StoreLease | undefined
  /** The last lease granted: an entry may have been written under it even if the answer to the write was lost. */
  private lastGrantedLease: StoreLease | undefined
  /** Aborted to end the pause before the next renewal. */
  private pause = new AbortController()
  private failures = 0

  constructor (private readonly parts: AnnouncerParts) {}

  /** Writes and renews the entry until the signal aborts, then removes it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = await this.renewOrWriteEntry(signal)
      this.pause = new AbortController()
      await sleepFor(pauseMs, AbortSignal.any([signal, this.pause.signal]))
    }
    await this.removeEntry()
  }

  /** Makes the next cycle write the entry again, as the entry was removed although its lease may still be valid. */
  restoreEntry (): void {
    this.lease = undefined
  }

  /**
   * Writes the entry again, as the store has returned from a copy: the entry and its lease may be gone, and another host may have been
   * granted a lease with the same id. The hosts of the fleet learn of the return together, and their writes are spread.
   */
  handleStoreReturn (hostCount: number): void {
    this.restoreEntry()
    const spreadMs = Math.min(MAX_RETURN_SPREAD_MS, hostCount * RETURN_SPREAD_PER_HOST_MS)
    const { pause } = this
    setTimeout(() => { pause.abort() }, spreadMs * this.parts.random()).unref()
  }

  private async renewOrWriteEntry (signal: AbortSignal): Promise<number> {
    const { store, codec, entry, log, random } = this.parts
    try {
      const { lease: known } = this
      if (known !== undefined && await store.renewLease(known, signal) && this.lease === known) {
        this.failures = 0
        return RENEWAL_INTERVAL_MS
      }
      const lease = await store.grantLease(LEASE_TTL_MS, signal)
      this.lastGrantedLease = lease
      const { key, value } = codec.encodeHost({ ...entry, storeEra: lease.era })
      const result = await store.commit({ era: lease.era, expected: [], writes: [{ key, value, leaseId: lease.id }], deletes: [] }, signal)
      if (result.kind !== 'done') return RETRY_DELAY.firstMs * random()
      this.lease = lease
      this.failures = 0
      log.report('entry of this host written', { lease })
      return RENEWAL_INTERVAL_MS
    } catch (error) {
      if (!signal.aborted) log.logError('entry of this host not renewed or written', error as Error)
      this.failures += 1
      return computeRetryDelay(RETRY_DELAY, this.failures, random())
    }
  }

  // A single call may be lost or late on a busy machine. The entry would then stay until its lease expires, and look-ups in other
  // regions would return a stopped host for four seconds.
  private async removeEntry (): Promise<void> {
    for (let attemptsLeft = MAX_RELEASE_ATTEMPTS; attemptsLeft > 0 && this.lastGrantedLease !== undefined; attemptsLeft -= 1) await this.tryRemoveEntry(attemptsLeft)
  }

  private async tryRemoveEntry (attemptsLeft: number): Promise<void> {
    if (this.lastGrantedLease === undefined) return
    try {
      await this.parts.store.releaseLease(this.lastGrantedLease, AbortSignal.timeout(RELEASE_TIMEOUT_MS))
      this.lastGrantedLease = undefined
    } catch (error) {
      this.parts.log.logError(attemptsLeft > 1 ? 'entry of this host not taken out yet' : 'entry of this host not taken out; it lapses by itself', error as Error)
    }
  }
}
