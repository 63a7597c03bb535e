import { IndexedHeap } from './indexedHeap.js'
import type { WaitingRequest } from './waitingRequest.js'

/** What waits: by request, by the latest time at which it can start, and by the time at which it may go before all others. */
export class WaitingSet {
  private readonly entries = new Map<string, WaitingRequest>()
  /** By the latest time at which a request can start and still be answered in time. */
  private readonly latestStarts = new IndexedHeap<WaitingRequest>()
  private readonly passedBy = new IndexedHeap<WaitingRequest>()

  get size (): number {
    return this.entries.size
  }

  find (id: string): WaitingRequest | undefined {
    return this.entries.get(id)
  }

  add (entry: WaitingRequest, latestStart: number, passedByAt: number): void {
    this.passedBy.set(entry, passedByAt)
    this.entries.set(entry.request.id, entry)
    this.latestStarts.set(entry, latestStart)
  }

  remove (entry: WaitingRequest): void {
    this.entries.delete(entry.request.id)
    this.latestStarts.remove(entry)
    this.passedBy.remove(entry)
  }

  /** The earliest of the latest starts; undefined while nothing waits. */
  findNextStart (): number | undefined {
    return this.latestStarts.findPriority()
  }

  /** One that can't start in time any more; undefined where there is none. */
  findLate (now: number): WaitingRequest | undefined {
    return (this.latestStarts.findPriority() ?? Infinity) < now ? this.latestStarts.find() : undefined
  }

  /** The one that has been passed by for the longest time over its own; undefined where there is none. */
  findPassedBy (now: number): WaitingRequest | undefined {
    return (this.passedBy.findPriority() ?? Infinity) <= now ? this.passedBy.find() : undefined
  }

  /** Looks at a request that was passed by again at a later time. */
  schedule (entry: WaitingRequest, passedByAt: number): void {
    this.passedBy.set(entry, passedByAt)
  }
}
