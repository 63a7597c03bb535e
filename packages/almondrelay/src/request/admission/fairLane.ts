import { FairFlow } from './fairFlow.js'
import { IndexedHeap } from './indexedHeap.js'
import type { WaitingRequest } from './waitingRequest.js'

/** Callers without waiting requests whose recent use is remembered. */
const MAX_REMEMBERED = 10_000

/**
 * Start-time fair queueing among callers, weighted by expected cost.
 *
 * Answers one hot caller: in arrival order a caller that sends half of all requests
 * takes half of the slots and makes all others wait behind its backlog. Here each
 * caller's requests carry the virtual time at which its earlier ones end, the lowest goes
 * first, and so the hot caller waits behind itself. Each operation is logarithmic in the
 * number of callers that wait.
 */
export class FairLane {
  /** Milliseconds of one slot. */
  waitingCostMs = 0
  count = 0
  private readonly flows = new Map<string, FairFlow>()
  private readonly order = new IndexedHeap<FairFlow>()
  private readonly hottest = new IndexedHeap<FairFlow>()
  /** Callers with nothing waiting that are still ahead of the virtual time. */
  private readonly ahead = new IndexedHeap<FairFlow>()
  private virtualTime = 0

  /** Callers that wait. */
  get waitingCallers (): number {
    return this.order.size
  }

  get knownCallers (): number {
    return this.flows.size
  }

  push (entry: WaitingRequest): void {
    const caller = entry.request.caller
    const flow = this.flows.get(caller) ?? this.addFlow(caller)
    flow.push(entry)
    this.count += 1
    this.waitingCostMs += entry.costMs
    this.ahead.remove(flow)
    this.reconcile(flow)
  }

  /** Notes the use of a slot by a caller whose request never waited. */
  touch (caller: string, costMs: number): void {
    if (this.count === 0) return
    const flow = this.flows.get(caller) ?? this.addFlow(caller)
    this.charge(flow, costMs)
    this.reconcile(flow)
  }

  /** Corrects a caller's claim once the true cost is known; one with nothing waiting is not held to a single long answer. */
  update (caller: string, differenceMs: number): void {
    const flow = this.flows.get(caller)
    if (flow === undefined || flow.count === 0) return
    flow.tag += differenceMs
    this.reconcile(flow)
  }

  take (): WaitingRequest | undefined {
    const flow = this.order.find()
    const entry = flow?.take()
    if (flow === undefined || entry === undefined) return undefined
    this.virtualTime = Math.max(this.virtualTime, flow.tag)
    this.charge(flow, entry.costMs)
    this.subtract(entry)
    this.reconcile(flow)
    this.pruneBehind()
    return entry
  }

  /** Takes an entry out of its turn; its caller's claim moves as if it had been its turn. */
  takeEntry (entry: WaitingRequest): void {
    const flow = this.flows.get(entry.request.caller)
    if (flow === undefined || !flow.remove(entry)) return
    this.charge(flow, entry.costMs)
    this.subtract(entry)
    this.reconcile(flow)
  }

  remove (entry: WaitingRequest): boolean {
    const flow = this.flows.get(entry.request.caller)
    if (flow === undefined || !flow.remove(entry)) return false
    this.subtract(entry)
    this.reconcile(flow)
    return true
  }

  /** The caller with the most waiting work, in milliseconds of one slot. */
  findHottest (): FairFlow | undefined {
    return this.hottest.find()
  }

  /** Removes and returns the latest request of the key with the most waiting of that caller. */
  dropLatest (flow: FairFlow): WaitingRequest | undefined {
    const entry = flow.dropLatest()
    if (entry === undefined) return undefined
    this.subtract(entry)
    this.reconcile(flow)
    return entry
  }

  findFlow (caller: string): FairFlow | undefined {
    return this.flows.get(caller)
  }

  /** Waiting work of one caller, in milliseconds of one slot. */
  estimateWaiting (caller: string): number {
    return this.flows.get(caller)?.waitingCostMs ?? 0
  }

  /** Work by which a caller is ahead of the virtual time, in milliseconds of one slot: what waits and what it lately had. */
  estimateLead (caller: string): number {
    const flow = this.flows.get(caller)
    return flow === undefined ? 0 : flow.waitingCostMs + Math.max(0, flow.tag - this.virtualTime)
  }

  private addFlow (caller: string): FairFlow {
    const flow = new FairFlow(caller)
    flow.tag = this.virtualTime
    this.flows.set(caller, flow)
    return flow
  }

  private charge (flow: FairFlow, costMs: number): void {
    flow.tag = Math.max(flow.tag, this.virtualTime) + costMs
  }

  private subtract (entry: WaitingRequest): void {
    this.count -= 1
    this.waitingCostMs = this.count === 0 ? 0 : this.waitingCostMs - entry.costMs
  }

  private reconcile (flow: FairFlow): void {
    if (flow.count > 0) {
      this.order.set(flow, flow.tag)
      this.hottest.set(flow, -flow.waitingCostMs)
      return
    }
    this.order.remove(flow)
    this.hottest.remove(flow)
    this.ahead.set(flow, flow.tag)
    if (this.count === 0 || this.ahead.size > MAX_REMEMBERED) this.pruneAhead()
  }

  /** A caller whose claim is not ahead of the virtual time is as good as a new one. */
  private pruneBehind (): void {
    while ((this.ahead.findPriority() ?? Infinity) <= this.virtualTime) this.removeFlow(this.ahead.take())
  }

  /** With nothing waiting there is no contention, and so no claim to remember. */
  private pruneAhead (): void {
    const kept = this.count === 0 ? 0 : MAX_REMEMBERED
    while (this.ahead.size > kept) this.removeFlow(this.ahead.take())
  }

  private removeFlow (flow: FairFlow | undefined): void {
    if (flow !== undefined) this.flows.delete(flow.caller)
  }
}
