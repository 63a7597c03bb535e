import { IndexedHeap } from './indexedHeap.js'
import type { WaitingRequest } from './waitingRequest.js'

/**
 * The waiting requests, indexed by id, by their latest possible start, and by the time from which they count as
 * overtaken and may start first.
 */
export class WaitingSet {
  private readonly entries = new Map<string, WaitingRequest>()
  /** Ordered by the latest time at which a request can start and still be answered in time. */
  private readonly latestStarts = new IndexedHeap<WaitingRequest>()
  private readonly overtaken = new IndexedHeap<WaitingRequest>()

  get size (): number {
    return this.entries.size
  }

  find (id: string): WaitingRequest | undefined {
    return this.entries.get(id)
  }

  add (entry: WaitingRequest, latestStart: number, overtakenAt: number): void {
    this.overtaken.set(entry, overtakenAt)
    this.entries.set(entry.request.id, entry)
    this.latestStarts.set(entry, latestStart)
  }

  remove (entry: WaitingRequest): void {
    this.entries.delete(entry.request.id)
    this.latestStarts.remove(entry)
    this.overtaken.remove(entry)
  }

  /** Returns the earliest of the latest possible starts; undefined while no request waits. */
  findNextLatestStart (): number | undefined {
    return this.latestStarts.findPriority()
  }

  /** Returns a request that can no longer start in time; undefined if there is none. */
  findLate (now: number): WaitingRequest | undefined {
    return (this.latestStarts.findPriority() ?? Infinity) < now ? this.latestStarts.find() : undefined
  }

  /** Returns the request that has been overtaken for the longest; undefined if there is none. */
  findOvertaken (now: number): WaitingRequest | undefined {
    return (this.overtaken.findPriority() ?? Infinity) <= now ? this.overtaken.find() : undefined
  }

  /** Postpones the time from which a request counts as overtaken. */
  schedule (entry: WaitingRequest, overtakenAt: number): void {
    this.overtaken.set(entry, overtakenAt)
  }
}
