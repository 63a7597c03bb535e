import { RefusalReason } from '../refusalReason.js'
import type { AdmissionOptions } from './admissionOptions.js'
import { BacklogBound } from './backlogBound.js'
import { FairLane } from './fairLane.js'
import { ShortDemand } from './shortDemand.js'
import type { WaitingRequest } from './waitingRequest.js'

/** A caller or key with at most this many waiting requests counts as within its fair share of the backlog. */
const FEW_REQUESTS = 4
/** Minimum number of shares into which the backlog is divided, so that one hot caller among few does not get half of it. */
const MIN_PARTS = 8
/** Share of the backlog's limit above which each caller is held to its fair share. */
const CROWDED_PART = 0.5
/**
 * A request of the hottest caller is displaced only if that caller has this many times the
 * waiting work of the new request's caller. Between callers with similar backlogs, displacing
 * gains nothing: it refuses, after a wait, a request that could have been served.
 */
const DISPLACE_FACTOR = 4
/** A caller with more than this share of the backlog is hot, and the lower `HOT_FACTOR` applies to it. */
const HOT_PART = 0.25
/** A hot caller with this many times the waiting work of another caller makes room for it. */
const NEAR_FACTOR = 2
/** Limit of the backlog of long work, in long jobs for each slot. */
const LONG_BACKLOG_JOBS = 8

/**
 * The waiting requests, in one lane for short and one for long work, and the limits on their amount.
 *
 * Under overload each caller, and each key within a caller, has a share of a bounded backlog,
 * so that the callers that send the most are refused first, and on arrival.
 */
export class Backlog {
  readonly short = new FairLane()
  readonly long = new FairLane()
  /** Number of running long requests. */
  runningLong = 0
  private readonly demand = new ShortDemand()
  private readonly bound: BacklogBound

  constructor (private readonly options: AdmissionOptions) {
    this.bound = new BacklogBound(options.maxWaitMs)
  }

  get count (): number {
    return this.short.count + this.long.count
  }

  /** Records the arrival of a request, whatever is decided on it. */
  observe (entry: WaitingRequest, capacity: number, now: number): void {
    if (!entry.isLong) this.demand.add(entry.costMs, now)
    const spreadMs = this.short.waitingCostMs - (this.short.findHottest()?.waitingCostMs ?? 0)
    this.bound.observe(spreadMs / this.countLaneSlots(false, Math.max(capacity, 1), now), now)
  }

  /** Whether long work may use one more slot. */
  allowLong (capacity: number, now: number): boolean {
    return this.runningLong < this.demand.limitLong(capacity, now)
  }

  getLane (entry: WaitingRequest): FairLane {
    return entry.isLong ? this.long : this.short
  }

  /** Whether no waiting request takes precedence over the entry for a free slot. */
  isNext (entry: WaitingRequest, capacity: number, now: number): boolean {
    if (this.getLane(entry).count > 0) return false
    const longMayStart = this.allowLong(capacity, now)
    if (entry.isLong) return longMayStart && this.short.count === 0
    return this.long.count === 0 || !longMayStart
  }

  /** Expected wait of the entry, in milliseconds, if it is queued. */
  estimateWait (entry: WaitingRequest, capacity: number, now: number): number {
    const lane = this.getLane(entry)
    const own = lane.estimateWaiting(entry.request.caller) + entry.costMs
    const callers = lane.waitingCallers + (own > entry.costMs ? 0 : 1)
    const aheadMs = Math.min(lane.waitingCostMs + entry.costMs, own * callers)
    return aheadMs / this.countLaneSlots(entry.isLong, capacity, now)
  }

  /** Number of slots that serve the lane; at least one. */
  countLaneSlots (isLong: boolean, capacity: number, now: number): number {
    if (isLong) return Math.min(capacity, this.demand.limitLong(capacity, now))
    return Math.max(1, capacity - this.runningLong)
  }

  /**
   * Whether the caller, or the key within the caller, already has its fair share of a crowded
   * backlog. If its request were queued, requests of callers with less waiting work would
   * overtake it, and it would be refused after a wait.
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

  /** Whether the entry would take its lane's backlog above its limit. */
  isFull (entry: WaitingRequest, capacity: number, now: number): boolean {
    if (this.count >= this.options.maxQueued) return true
    const slots = this.countLaneSlots(entry.isLong, capacity, now)
    const lane = this.getLane(entry)
    return lane.count > 0 && (lane.waitingCostMs + entry.costMs) / slots > this.limitBacklog(entry.isLong, entry.costMs, now)
  }

  /** Limit of the waiting work in the entry's lane, in milliseconds of one slot. */
  limitLaneWork (entry: WaitingRequest, capacity: number, now: number): number {
    const lane = this.getLane(entry)
    const byTime = this.limitBacklog(entry.isLong, entry.costMs, now) * this.countLaneSlots(entry.isLong, capacity, now)
    const byCount = this.options.maxQueued * (lane.count === 0 ? entry.costMs : lane.waitingCostMs / lane.count)
    return Math.min(byTime, byCount)
  }

  /** Limit of the wait in a lane, in milliseconds. */
  limitBacklog (isLong: boolean, costMs: number, now: number): number {
    return isLong ? Math.max(this.options.maxWaitMs, LONG_BACKLOG_JOBS * costMs) : this.bound.limit(costMs, now)
  }

  /**
   * Drops and returns the latest request of the caller with the most waiting work or, where the
   * entry's own caller is over its fair share, of that caller's key with the most; undefined if
   * that caller or key does not have clearly more waiting work than the entry's.
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

  /** Reason for refusing the entry where the backlog is full. */
  explainFull (entry: WaitingRequest): RefusalReason {
    const lane = this.getLane(entry)
    const fairPart = lane.waitingCostMs / Math.max(1, lane.waitingCallers)
    const own = lane.estimateWaiting(entry.request.caller)
    return lane.waitingCallers > 1 && own >= fairPart ? RefusalReason.overFairShare : RefusalReason.queueFull
  }

  /** Whether the caller and the key have at most their fair share of the waiting work. */
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
