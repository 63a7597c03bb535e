import { sleepFor } from 'almondrelay'
import { computeRetryDelay } from '../../request/computeRetryDelay.js'
import type { EventLog } from '../observe/eventLog.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { FleetCodec } from './fleetCodec.js'
import type { HostEntry } from './hostEntry.js'

/** Lifetime of the entry without a renewal, in milliseconds: look-ups name a host that has exited for no longer than this. */
const LEASE_MS = 4_000
/** Milliseconds between renewals: two in a row may be lost before the lease expires. */
const RENEW_MS = 1_300
/**
 * Delay before a failed call is retried, in milliseconds: doubled with each failure up to the maximum, with jitter. During an
 * outage every host of the fleet calls the store this often in vain.
 */
const RETRY = { firstMs: 300, longestMs: 2_400 }
/** Timeout of a call to release the lease at a stop, in milliseconds. */
const END_TIMEOUT_MS = 600
/** Maximum number of such calls: with the timeout above, all end before the host stops accepting callers. */
const END_TRIES = 4

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
  private leaseId: number | undefined
  /** The last lease granted: an entry may have been written under it even if the answer to the write was lost. */
  private grantedLease: number | undefined
  private failures = 0

  constructor (private readonly parts: AnnouncerParts) {}

  /** Writes and renews the entry until the signal aborts, then removes it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = await this.keepEntry(signal)
      await sleepFor(pauseMs, signal)
    }
    await this.removeEntry()
  }

  /** Makes the next cycle write the entry again, as the entry was removed although its lease may still be valid. */
  renewEntry (): void {
    this.leaseId = undefined
  }

  private async keepEntry (signal: AbortSignal): Promise<number> {
    const { store, codec, entry, log, random } = this.parts
    try {
      if (this.leaseId !== undefined && await store.renewLease(this.leaseId, signal)) {
        this.failures = 0
        return RENEW_MS
      }
      const leaseId = await store.grantLease(LEASE_MS, signal)
      this.grantedLease = leaseId
      const { key, value } = codec.encodeHost(entry)
      const result = await store.commit({ expected: [], writes: [{ key, value, leaseId }], deletes: [] }, signal)
      if (result.kind !== 'done') return RETRY.firstMs * random()
      this.leaseId = leaseId
      this.failures = 0
      log.report('entry of this host written', { leaseId })
      return RENEW_MS
    } catch (error) {
      if (!signal.aborted) log.logError('entry of this host not renewed or written', error as Error)
      this.failures += 1
      return computeRetryDelay(RETRY, this.failures, random())
    }
  }

  // A single call may be lost or late on a busy machine. The entry would then stay until its lease expires, and look-ups in other
  // regions would return a stopped host for four seconds.
  private async removeEntry (): Promise<void> {
    for (let left = END_TRIES; left > 0 && this.grantedLease !== undefined; left -= 1) await this.tryRemoveEntry(left)
  }

  private async tryRemoveEntry (triesLeft: number): Promise<void> {
    if (this.grantedLease === undefined) return
    try {
      await this.parts.store.releaseLease(this.grantedLease, AbortSignal.timeout(END_TIMEOUT_MS))
      this.grantedLease = undefined
    } catch (error) {
      this.parts.log.logError(triesLeft > 1 ? 'entry of this host not taken out yet' : 'entry of this host not taken out; it lapses by itself', error as Error)
    }
  }
}
