import { IndexedHeap } from './indexedHeap.js'
import type { WaitingRequest } from './waitingRequest.js'

interface KeyQueue {
  name: string
  /** Start tag of fair queueing: the virtual time at which the key's next request may start. */
  startTag: number
  /** Waiting requests in order of arrival. */
  waiting: WaitingRequest[]
  /** Expected cost of the waiting requests, in milliseconds of one slot. */
  waitingCostMs: number
}

/** One caller's waiting requests in a lane, with start-time fair queueing among the caller's keys. */
export class FairFlow {
  /** Start tag: the virtual time of the lane at which the caller's next request may start. */
  startTag = 0
  /** Expected cost of the waiting requests, in milliseconds of one slot. */
  waitingCostMs = 0
  count = 0
  private readonly keys = new Map<string, KeyQueue>()
  private readonly keysByWork = new IndexedHeap<KeyQueue>()
  private readonly keysByTag = new IndexedHeap<KeyQueue>()
  private virtualTime = 0

  constructor (readonly caller: string) {}

  push (entry: WaitingRequest): void {
    const name = entry.request.key
    const queue = this.keys.get(name) ?? { name, startTag: this.virtualTime, waiting: [], waitingCostMs: 0 }
    queue.waiting.push(entry)
    this.keys.set(name, queue)
    if (!this.keysByTag.has(queue)) this.keysByTag.set(queue, Math.max(queue.startTag, this.virtualTime))
    queue.waitingCostMs += entry.costMs
    this.keysByWork.set(queue, -queue.waitingCostMs)
    this.waitingCostMs += entry.costMs
    this.count += 1
  }

  /** Keys with waiting requests. */
  get waitingKeys (): number {
    return this.keys.size
  }

  /** Waiting work of one key, in milliseconds of one slot. */
  estimateKeyWaiting (key: string): number {
    return this.keys.get(key)?.waitingCostMs ?? 0
  }

  /** Waiting work of the key that has the most, in milliseconds of one slot. */
  estimateMaxKeyWaiting (): number {
    return this.keysByWork.find()?.waitingCostMs ?? 0
  }

  /** Removes and returns the next request of the key with the lowest start tag. */
  take (): WaitingRequest | undefined {
    const queue = this.keysByTag.find()
    const entry = queue?.waiting.shift()
    if (queue === undefined || entry === undefined) return undefined
    this.virtualTime = this.keysByTag.findPriority() ?? this.virtualTime
    queue.startTag = this.virtualTime + entry.costMs
    this.subtract(entry, queue)
    this.reconcileOrder(queue)
    return entry
  }

  /** Removes and returns the latest request of the key with the most waiting work. */
  dropLatest (): WaitingRequest | undefined {
    const longest = this.keysByWork.find()
    const entry = longest?.waiting.pop()
    if (longest === undefined || entry === undefined) return undefined
    this.subtract(entry, longest)
    this.reconcileOrder(longest)
    return entry
  }

  remove (entry: WaitingRequest): boolean {
    const queue = this.keys.get(entry.request.key)
    const position = queue?.waiting.indexOf(entry) ?? -1
    if (queue === undefined || position < 0) return false
    queue.waiting.splice(position, 1)
    this.subtract(entry, queue)
    this.reconcileOrder(queue)
    return true
  }

  private subtract (entry: WaitingRequest, queue: KeyQueue): void {
    queue.waitingCostMs = queue.waiting.length === 0 ? 0 : queue.waitingCostMs - entry.costMs
    this.count -= 1
    this.waitingCostMs = this.count === 0 ? 0 : this.waitingCostMs - entry.costMs
  }

  /** Removes a key without waiting requests, so that memory is bounded by the waiting requests and not by the keys that callers invent. */
  private reconcileOrder (queue: KeyQueue): void {
    if (queue.waiting.length > 0) {
      this.keysByTag.set(queue, queue.startTag)
      this.keysByWork.set(queue, -queue.waitingCostMs)
      return
    }
    this.keysByTag.remove(queue)
    this.keysByWork.remove(queue)
    this.keys.delete(queue.name)
  }
}
