import { RefusalReason } from '../refusalReason.js'
import type { AdmissionOptions } from './admissionOptions.js'
import { BacklogBound } from './backlogBound.js'
import { FairLane } from './fairLane.js'
import { ShortDemand } from './shortDemand.js'
import type { WaitingRequest } from './waitingRequest.js'

/** A caller or key with at most this many waiting requests counts as within its fair share of the backlog. */
const MIN_FAIR_REQUESTS = 4
/** Minimum number of shares into which the backlog is divided, so that one hot caller among few does not get half of it. */
const MIN_SHARES = 8
/** Share of the backlog's limit above which each caller is held to its fair share. */
const CROWDED_SHARE = 0.5
/**
 * A request of the hottest caller is displaced only if that caller has this many times the
 * waiting work of the new request's caller. Between callers with similar backlogs, displacing
 * gains nothing: it refuses, after a wait, a request that could have been served.
 */
const DISPLACE_FACTOR = 4
/** A caller with more than this share of the backlog is hot, and the lower `HOT_FACTOR` applies to it. */
const HOT_SHARE = 0.25
/** A hot caller with this many times the waiting work of another caller makes room for it. */
const HOT_FACTOR = 2
/** Limit of the backlog of long work, in long jobs for each slot. */
const MAX_LONG_BACKLOG_JOBS = 8

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
  private readonly shortDemand = new ShortDemand()
  private readonly shortLimit: BacklogBound

  constructor (private readonly options: AdmissionOptions) {
    this.shortLimit = new BacklogBound(options.maxWaitMs)
  }

  get count (): number {
    return this.short.count + this.long.count
  }

  /** Records the arrival of a request, whatever is decided on it. */
  observe (entry: WaitingRequest, capacity: number, now: number): void {
    if (!entry.isLong) this.shortDemand.add(entry.costMs, now)
    const otherWorkMs = this.short.waitingCostMs - (this.short.findHottest()?.waitingCostMs ?? 0)
    this.shortLimit.observe(otherWorkMs / this.countLaneSlots(false, Math.max(capacity, 1), now), now)
  }

  /** Whether long work may use one more slot. */
  allowLong (capacity: number, now: number): boolean {
    return this.runningLong < this.shortDemand.computeLongLimit(capacity, now)
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
    const ownWorkMs = lane.estimateWaiting(entry.request.caller) + entry.costMs
    const callerCount = lane.waitingCallers + (ownWorkMs > entry.costMs ? 0 : 1)
    const aheadMs = Math.min(lane.waitingCostMs + entry.costMs, ownWorkMs * callerCount)
    return aheadMs / this.countLaneSlots(entry.isLong, capacity, now)
  }

  /** Number of slots that serve the lane; at least one. */
  countLaneSlots (isLong: boolean, capacity: number, now: number): number {
    if (isLong) return Math.min(capacity, this.shortDemand.computeLongLimit(capacity, now))
    return Math.max(1, capacity - this.runningLong)
  }

  /**
   * Whether the caller, or the key within the caller, already has its fair share of a crowded
   * backlog. If its request were queued, requests of callers with less waiting work would
   * overtake it, and it would be refused after a wait.
   */
  isOverFairShare (entry: WaitingRequest, capacity: number, now: number): boolean {
    const lane = this.getLane(entry)
    const { caller, key } = entry.request
    const flow = lane.findFlow(caller)
    const limitMs = this.computeLaneLimit(entry, capacity, now)
    if (flow === undefined || lane.waitingCostMs < CROWDED_SHARE * limitMs) return false
    const callerShareMs = limitMs / lane.knownCallers
    const leadMs = lane.estimateLead(caller)
    const hottestWorkMs = lane.findHottest()?.waitingCostMs ?? 0
    const isOtherHot = hottestWorkMs > HOT_SHARE * limitMs && hottestWorkMs > HOT_FACTOR * leadMs
    if (leadMs === 0 || isOtherHot) return false
    if (leadMs + entry.costMs > callerShareMs) return true
    const keyWorkMs = flow.estimateKeyWaiting(key)
    if (flow.waitingKeys < 2 || keyWorkMs === 0 || keyWorkMs * HOT_FACTOR < flow.estimateMaxKeyWaiting() || flow.waitingCostMs < CROWDED_SHARE * callerShareMs) return false
    return (keyWorkMs + entry.costMs) * flow.waitingKeys > callerShareMs
  }

  /** Whether the entry would take its lane's backlog above its limit. */
  isFull (entry: WaitingRequest, capacity: number, now: number): boolean {
    if (this.count >= this.options.maxQueued) return true
    const slots = this.countLaneSlots(entry.isLong, capacity, now)
    const lane = this.getLane(entry)
    return lane.count > 0 && (lane.waitingCostMs + entry.costMs) / slots > this.computeWaitLimit(entry.isLong, entry.costMs, now)
  }

  /** Limit of the waiting work in the entry's lane, in milliseconds of one slot. */
  computeLaneLimit (entry: WaitingRequest, capacity: number, now: number): number {
    const lane = this.getLane(entry)
    const timeLimitMs = this.computeWaitLimit(entry.isLong, entry.costMs, now) * this.countLaneSlots(entry.isLong, capacity, now)
    const countLimitMs = this.options.maxQueued * (lane.count === 0 ? entry.costMs : lane.waitingCostMs / lane.count)
    return Math.min(timeLimitMs, countLimitMs)
  }

  /** Limit of the wait in a lane, in milliseconds. */
  computeWaitLimit (isLong: boolean, costMs: number, now: number): number {
    return isLong ? Math.max(this.options.maxWaitMs, MAX_LONG_BACKLOG_JOBS * costMs) : this.shortLimit.limit(costMs, now)
  }

  /**
   * Drops and returns the latest request of the caller with the most waiting work or, where the
   * entry's own caller is over its fair share, of that caller's key with the most; undefined if
   * that caller or key does not have clearly more waiting work than the entry's.
   */
  dropHottest (entry: WaitingRequest, isOverFairShare: boolean): WaitingRequest | undefined {
    const { caller, key } = entry.request
    const ownLane = this.getLane(entry)
    const otherLane = ownLane === this.short ? this.long : this.short
    const lane = ownLane.count > 0 ? ownLane : otherLane
    const flow = isOverFairShare ? lane.findFlow(caller) : lane.findHottest()
    if (flow === undefined) return undefined
    const isOwnFlow = flow.caller === caller
    const largestWorkMs = isOwnFlow ? flow.estimateMaxKeyWaiting() : flow.waitingCostMs
    const newWorkMs = entry.costMs + (isOwnFlow ? flow.estimateKeyWaiting(key) : lane.estimateWaiting(caller))
    const factor = largestWorkMs > HOT_SHARE * lane.waitingCostMs ? HOT_FACTOR : DISPLACE_FACTOR
    if (largestWorkMs < factor * newWorkMs) return undefined
    return lane.dropLatest(flow)
  }

  /** Reason for refusing the entry where the backlog is full. */
  explainFull (entry: WaitingRequest): RefusalReason {
    const lane = this.getLane(entry)
    const fairShareMs = lane.waitingCostMs / Math.max(1, lane.waitingCallers)
    const ownWorkMs = lane.estimateWaiting(entry.request.caller)
    return lane.waitingCallers > 1 && ownWorkMs >= fairShareMs ? RefusalReason.overFairShare : RefusalReason.queueFull
  }

  /** Whether the caller and the key have at most their fair share of the waiting work. */
  isWithinFairShare (entry: WaitingRequest, capacity: number, now: number): boolean {
    const lane = this.getLane(entry)
    const flow = lane.findFlow(entry.request.caller)
    if (flow === undefined) return false
    const minShareMs = MIN_FAIR_REQUESTS * entry.costMs
    const callerShareMs = Math.max(minShareMs, this.computeLaneLimit(entry, capacity, now) / Math.max(MIN_SHARES, lane.knownCallers))
    const keyShareMs = Math.max(minShareMs, callerShareMs / Math.max(MIN_SHARES, flow.waitingKeys))
    return flow.waitingCostMs <= callerShareMs && flow.estimateKeyWaiting(entry.request.key) <= keyShareMs
  }
}
