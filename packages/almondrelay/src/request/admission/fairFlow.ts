import { IndexedHeap } from './indexedHeap.js'
import type { WaitingRequest } from './waitingRequest.js'

interface KeyQueue {
  name: string
  /** Virtual time at which the key's next request may start. */
  tag: number
  /** In order of arrival. */
  waiting: WaitingRequest[]
}

/** One caller's waiting requests in a lane, divided fairly among the caller's keys. */
export class FairFlow {
  /** Virtual time of the lane at which the caller's next request may start. */
  tag = 0
  /** Milliseconds of one slot. */
  waitingCostMs = 0
  count = 0
  private readonly keys = new Map<string, KeyQueue>()
  private readonly order = new IndexedHeap<KeyQueue>()
  private virtualTime = 0

  constructor (readonly caller: string) {}

  push (entry: WaitingRequest): void {
    const name = entry.request.key
    const queue = this.keys.get(name) ?? { name, tag: this.virtualTime, waiting: [] }
    queue.waiting.push(entry)
    this.keys.set(name, queue)
    if (!this.order.has(queue)) this.order.set(queue, Math.max(queue.tag, this.virtualTime))
    this.waitingCostMs += entry.costMs
    this.count += 1
  }

  /** Removes and returns the request whose key has the oldest claim. */
  take (): WaitingRequest | undefined {
    const queue = this.order.find()
    const entry = queue?.waiting.shift()
    if (queue === undefined || entry === undefined) return undefined
    this.virtualTime = this.order.findPriority() ?? this.virtualTime
    queue.tag = this.virtualTime + entry.costMs
    this.subtract(entry)
    this.reconcileOrder(queue)
    return entry
  }

  /** Removes and returns the latest request of the key with the most waiting. */
  dropLatest (): WaitingRequest | undefined {
    let longest: KeyQueue | undefined
    for (const queue of this.keys.values()) {
      if (longest === undefined || queue.waiting.length > longest.waiting.length) longest = queue
    }
    const entry = longest?.waiting.pop()
    if (longest === undefined || entry === undefined) return undefined
    this.subtract(entry)
    this.reconcileOrder(longest)
    return entry
  }

  remove (entry: WaitingRequest): boolean {
    const queue = this.keys.get(entry.request.key)
    const position = queue?.waiting.indexOf(entry) ?? -1
    if (queue === undefined || position < 0) return false
    queue.waiting.splice(position, 1)
    this.subtract(entry)
    this.reconcileOrder(queue)
    return true
  }

  private subtract (entry: WaitingRequest): void {
    this.count -= 1
    this.waitingCostMs = this.count === 0 ? 0 : this.waitingCostMs - entry.costMs
  }

  /** Forgets a key with nothing waiting: bounded by what waits, whatever keys callers make up. */
  private reconcileOrder (queue: KeyQueue): void {
    if (queue.waiting.length > 0) {
      this.order.set(queue, queue.tag)
      return
    }
    this.order.remove(queue)
    this.keys.delete(queue.name)
  }
}
