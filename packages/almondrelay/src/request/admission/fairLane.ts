import { FairFlow } from './fairFlow.js'
import { IndexedHeap } from './indexedHeap.js'
import type { WaitingRequest } from './waitingRequest.js'

/** Maximum number of callers without waiting requests whose recent usage is kept. */
const MAX_IDLE_CALLERS = 10_000

/**
 * Start-time fair queueing among callers, weighted by expected cost.
 *
 * In order of arrival, a hot caller that sends half of all requests takes half of the slots
 * and delays all others behind its backlog. Here each caller has a start tag, the virtual
 * time at which its earlier requests end. The caller with the lowest tag is served first, so
 * that a hot caller waits only behind its own requests. Each operation is logarithmic in the
 * number of waiting callers.
 */
export class FairLane {
  /** Expected cost of the waiting requests, in milliseconds of one slot. */
  waitingCostMs = 0
  count = 0
  private readonly flows = new Map<string, FairFlow>()
  private readonly callersByTag = new IndexedHeap<FairFlow>()
  private readonly callersByWork = new IndexedHeap<FairFlow>()
  /** Callers without waiting requests whose start tag is still ahead of the virtual time. */
  private readonly idleCallers = new IndexedHeap<FairFlow>()
  private virtualTime = 0

  /** Number of callers with waiting requests. */
  get waitingCallers (): number {
    return this.callersByTag.size
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
    this.idleCallers.remove(flow)
    this.reconcile(flow)
  }

  /** Charges a caller for a slot used by a request that did not wait. */
  chargeCaller (caller: string, costMs: number): void {
    if (this.count === 0) return
    const flow = this.flows.get(caller) ?? this.addFlow(caller)
    this.charge(flow, costMs)
    this.reconcile(flow)
  }

  /** Corrects a caller's start tag once the true cost is known; a caller without waiting requests is not charged for a single long answer. */
  updateCharge (caller: string, differenceMs: number): void {
    const flow = this.flows.get(caller)
    if (flow === undefined || flow.count === 0) return
    flow.startTag += differenceMs
    this.reconcile(flow)
  }

  take (): WaitingRequest | undefined {
    const flow = this.callersByTag.find()
    const entry = flow?.take()
    if (flow === undefined || entry === undefined) return undefined
    this.virtualTime = Math.max(this.virtualTime, flow.startTag)
    this.charge(flow, entry.costMs)
    this.subtract(entry)
    this.reconcile(flow)
    this.pruneExpired()
    return entry
  }

  /** Takes an entry out of turn; its caller is charged as if the entry had been taken in turn. */
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
    return this.callersByWork.find()
  }

  /** Removes and returns the latest request of the caller's key with the most waiting work. */
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

  /** Work by which a caller is ahead of the virtual time, in milliseconds of one slot: its waiting requests and its recent usage. */
  estimateLead (caller: string): number {
    const flow = this.flows.get(caller)
    return flow === undefined ? 0 : flow.waitingCostMs + Math.max(0, flow.startTag - this.virtualTime)
  }

  private addFlow (caller: string): FairFlow {
    const flow = new FairFlow(caller)
    flow.startTag = this.virtualTime
    this.flows.set(caller, flow)
    return flow
  }

  private charge (flow: FairFlow, costMs: number): void {
    flow.startTag = Math.max(flow.startTag, this.virtualTime) + costMs
  }

  private subtract (entry: WaitingRequest): void {
    this.count -= 1
    this.waitingCostMs = this.count === 0 ? 0 : this.waitingCostMs - entry.costMs
  }

  private reconcile (flow: FairFlow): void {
    if (flow.count > 0) {
      this.callersByTag.set(flow, flow.startTag)
      this.callersByWork.set(flow, -flow.waitingCostMs)
      return
    }
    this.callersByTag.remove(flow)
    this.callersByWork.remove(flow)
    this.idleCallers.set(flow, flow.startTag)
    if (this.count === 0 || this.idleCallers.size > MAX_IDLE_CALLERS) this.pruneIdle()
  }

  /** Removes callers whose start tag is not ahead of the virtual time; they are treated like new ones. */
  private pruneExpired (): void {
    while ((this.idleCallers.findPriority() ?? Infinity) <= this.virtualTime) this.removeFlow(this.idleCallers.take())
  }

  /** Bounds the number of idle callers; without waiting requests there is no contention, and no usage has to be kept. */
  private pruneIdle (): void {
    const maxIdle = this.count === 0 ? 0 : MAX_IDLE_CALLERS
    while (this.idleCallers.size > maxIdle) this.removeFlow(this.idleCallers.take())
  }

  private removeFlow (flow: FairFlow | undefined): void {
    if (flow !== undefined) this.flows.delete(flow.caller)
  }
}
