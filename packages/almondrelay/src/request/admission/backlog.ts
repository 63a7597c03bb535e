import { RefusalReason } from '../refusalReason.js'
import type { AdmissionOptions } from './admissionOptions.js'
import { BacklogBound } from './backlogBound.js'
import { FairLane } from './fairLane.js'
import { ShortDemand } from './shortDemand.js'
import type { WaitingRequest } from './waitingRequest.js'

/** A caller or key with this few waiting requests counts as within its part of the backlog. */
const FEW_REQUESTS = 4
/** Parts into which the backlog is divided at least, so that one hot caller among few has not half of it. */
const MIN_PARTS = 8
/** Part of the backlog's bound above which each caller is held to its fair part of it. */
const CROWDED_PART = 0.5
/**
 * How many times the newcomer's waiting work the hottest caller must have to lose a place
 * to it. Among callers who are nearly alike, displacing refuses after a wait whom it could
 * have served, and gains nothing.
 */
const DISPLACE_FACTOR = 4
/** Where the hottest caller has this part of the backlog, and this many times what the newcomer's has, it makes room for it. */
const HOT_PART = 0.25
const NEAR_FACTOR = 2
/** The bound on the backlog of long work, in long jobs for each slot. */
const LONG_BACKLOG_JOBS = 8

/**
 * What waits, in a lane for short and one for long work, and the rules on how much may.
 *
 * Answers a crowd: each caller, and each key within a caller, has its part of a bounded
 * backlog, so that who sends most is refused first and on arrival.
 */
export class Backlog {
  readonly short = new FairLane()
  readonly long = new FairLane()
  /** Long requests that run. */
  runningLong = 0
  private readonly demand = new ShortDemand()
  private readonly bound: BacklogBound

  constructor (private readonly options: AdmissionOptions) {
    this.bound = new BacklogBound(options.maxWaitMs)
  }

  get count (): number {
    return this.short.count + this.long.count
  }

  /** Notes that a request came, whatever becomes of it. */
  observe (entry: WaitingRequest, capacity: number, now: number): void {
    if (!entry.isLong) this.demand.add(entry.costMs, now)
    const spreadMs = this.short.waitingCostMs - (this.short.findHottest()?.waitingCostMs ?? 0)
    this.bound.observe(spreadMs / this.countLaneSlots(false, Math.max(capacity, 1), now), now)
  }

  /** Whether long work may take one more slot. */
  allowLong (capacity: number, now: number): boolean {
    return this.runningLong < this.demand.limitLong(capacity, now)
  }

  getLane (entry: WaitingRequest): FairLane {
    return entry.isLong ? this.long : this.short
  }

  /** Whether nothing that waits has a better claim to a free slot. */
  isNext (entry: WaitingRequest, capacity: number, now: number): boolean {
    if (this.getLane(entry).count > 0) return false
    const longMayStart = this.allowLong(capacity, now)
    if (entry.isLong) return longMayStart && this.short.count === 0
    return this.long.count === 0 || !longMayStart
  }

  /** Milliseconds until the entry would start, were it to wait. */
  estimateWait (entry: WaitingRequest, capacity: number, now: number): number {
    const lane = this.getLane(entry)
    const own = lane.estimateWaiting(entry.request.caller) + entry.costMs
    const callers = lane.waitingCallers + (own > entry.costMs ? 0 : 1)
    const aheadMs = Math.min(lane.waitingCostMs + entry.costMs, own * callers)
    return aheadMs / this.countLaneSlots(entry.isLong, capacity, now)
  }

  /** Slots on which the lane's work drains; at least one. */
  countLaneSlots (isLong: boolean, capacity: number, now: number): number {
    if (isLong) return Math.min(capacity, this.demand.limitLong(capacity, now))
    return Math.max(1, capacity - this.runningLong)
  }

  /**
   * Whether the caller, or the key within the caller, already has its part of a crowded
   * backlog. Were its request let in, those of callers with less would pass it by, and it
   * would be refused after a wait.
   */
  isOverPart (entry: WaitingRequest, capacity: number, now: number): boolean {
    const lane = this.getLane(entry)
    const { caller, key } = entry.request
    const flow = lane.findFlow(caller)
    const bound = this.limitLaneWork(entry, capacity, now)
    if (flow === undefined || lane.waitingCostMs < CROWDED_PART * bound) return false
    const callerPart = bound / lane.knownCallers
    const lead = lane.estimateLead(caller)
    const most = lane.findHottest()?.waitingCostMs ?? 0
    const isOneHot = most > HOT_PART * bound && most > NEAR_FACTOR * lead
    if (lead === 0 || isOneHot) return false
    if (lead + entry.costMs > callerPart) return true
    const own = flow.estimateKeyWaiting(key)
    if (flow.waitingKeys < 2 || own === 0 || own * NEAR_FACTOR < flow.estimateLongestKey() || flow.waitingCostMs < CROWDED_PART * callerPart) return false
    return (own + entry.costMs) * flow.waitingKeys > callerPart
  }

  /** Whether the entry would take its lane's backlog past its bound. */
  isFull (entry: WaitingRequest, capacity: number, now: number): boolean {
    if (this.count >= this.options.maxQueued) return true
    const slots = this.countLaneSlots(entry.isLong, capacity, now)
    const lane = this.getLane(entry)
    return lane.count > 0 && (lane.waitingCostMs + entry.costMs) / slots > this.limitBacklog(entry.isLong, entry.costMs, now)
  }

  /** Bound on the work that waits in the entry's lane, in milliseconds of one slot. */
  limitLaneWork (entry: WaitingRequest, capacity: number, now: number): number {
    const lane = this.getLane(entry)
    const byTime = this.limitBacklog(entry.isLong, entry.costMs, now) * this.countLaneSlots(entry.isLong, capacity, now)
    const byCount = this.options.maxQueued * (lane.count === 0 ? entry.costMs : lane.waitingCostMs / lane.count)
    return Math.min(byTime, byCount)
  }

  /** Bound on the wait of a lane, in milliseconds. */
  limitBacklog (isLong: boolean, costMs: number, now: number): number {
    return isLong ? Math.max(this.options.maxWaitMs, LONG_BACKLOG_JOBS * costMs) : this.bound.limit(costMs, now)
  }

  /**
   * Makes room by the latest request of the caller with the most waiting, or, where the
   * newcomer's caller itself has too much, of its key with the most; undefined where those
   * don't have clearly more than the newcomer.
   */
  dropHottest (entry: WaitingRequest, isOverPart: boolean): WaitingRequest | undefined {
    const { caller, key } = entry.request
    const own = this.getLane(entry)
    const other = own === this.short ? this.long : this.short
    const lane = own.count > 0 ? own : other
    const flow = isOverPart ? lane.findFlow(caller) : lane.findHottest()
    if (flow === undefined) return undefined
    const isOwnFlow = flow.caller === caller
    const most = isOwnFlow ? flow.estimateLongestKey() : flow.waitingCostMs
    const less = entry.costMs + (isOwnFlow ? flow.estimateKeyWaiting(key) : lane.estimateWaiting(caller))
    const factor = most > HOT_PART * lane.waitingCostMs ? NEAR_FACTOR : DISPLACE_FACTOR
    if (most < factor * less) return undefined
    return lane.dropLatest(flow)
  }

  /** Why there is no room for the entry. */
  explainFull (entry: WaitingRequest): RefusalReason {
    const lane = this.getLane(entry)
    const fairPart = lane.waitingCostMs / Math.max(1, lane.waitingCallers)
    const own = lane.estimateWaiting(entry.request.caller)
    return lane.waitingCallers > 1 && own >= fairPart ? RefusalReason.overFairShare : RefusalReason.queueFull
  }

  /** Whether caller and key have no more than their part of what waits. */
  isWithinPart (entry: WaitingRequest, capacity: number, now: number): boolean {
    const lane = this.getLane(entry)
    const flow = lane.findFlow(entry.request.caller)
    if (flow === undefined) return false
    const few = FEW_REQUESTS * entry.costMs
    const callerPart = Math.max(few, this.limitLaneWork(entry, capacity, now) / Math.max(MIN_PARTS, lane.knownCallers))
    const keyPart = Math.max(few, callerPart / Math.max(MIN_PARTS, flow.waitingKeys))
    return flow.waitingCostMs <= callerPart && flow.estimateKeyWaiting(entry.request.key) <= keyPart
  }
}
