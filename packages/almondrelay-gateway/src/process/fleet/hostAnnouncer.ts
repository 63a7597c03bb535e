import { sleepFor } from 'almondrelay'
import { computeRetryPause } from '../../request/computeRetryPause.js'
import type { EventLog } from '../observe/eventLog.js'
import type { RevisionStore } from '../store/revisionStore.js'
import type { FleetCodec } from './fleetCodec.js'
import type { HostEntry } from './hostEntry.js'

/** Life of the entry without a renewal, in milliseconds: a host that is gone is named for no longer. */
const LEASE_MS = 4_000
/** Milliseconds between renewals: two may be lost. */
const RENEW_MS = 1_300
/**
 * Milliseconds before a failed call is made again, doubled with each failure up to the longest, spread by chance: in an
 * outage every host of the fleet calls so often, for nothing.
 */
const RETRY = { firstMs: 300, longestMs: 2_400 }
/** Milliseconds for the last call at a stop, and how often it is made: all tries end before callers may connect no more. */
const END_TIMEOUT_MS = 600
const END_TRIES = 4

interface AnnouncerParts {
  store: RevisionStore
  codec: FleetCodec
  entry: HostEntry
  log: EventLog
  random: () => number
}

/** Keeps this host's entry in the store for as long as it serves. */
export class HostAnnouncer {
  /** Lease of the entry; undefined while the entry isn't known to stand. */
  private leaseId: number | undefined
  /** The last lease: the write of an entry under it may have taken effect though its answer never came. */
  private grantedLease: number | undefined
  private failures = 0

  constructor (private readonly parts: AnnouncerParts) {}

  /** Writes and renews the entry until the signal aborts, then takes it out. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = await this.keepEntry(signal)
      await sleepFor(pauseMs, signal)
    }
    await this.removeEntry()
  }

  /** The entry is gone though the lease may stand: it is written anew. */
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
      if (!signal.aborted) log.logError('entry of this host not kept up', error as Error)
      this.failures += 1
      return computeRetryPause(RETRY, this.failures, random())
    }
  }

  // One call alone may be lost or late on a busy machine; the entry then stands until its lease ends, and look-ups elsewhere name
  // a host that is gone for four seconds.
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
