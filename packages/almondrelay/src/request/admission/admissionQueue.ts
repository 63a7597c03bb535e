import type { Random } from '../random.js'
import { RefusalReason } from '../refusalReason.js'
import type { AdmissionBatch } from './admissionBatch.js'
import type { AdmissionDecision } from './admissionDecision.js'
import { admissionDefaults } from './admissionDefaults.js'
import type { AdmissionOptions } from './admissionOptions.js'
import type { AdmissionRefusal } from './admissionRefusal.js'
import type { AdmissionStatus } from './admissionStatus.js'
import { Backlog } from './backlog.js'
import type { QueuedRequest } from './queuedRequest.js'
import { RetryAfterSpreader } from './retryAfterSpreader.js'
import { RouteCosts } from './routeCosts.js'
import type { WaitingRequest } from './waitingRequest.js'
import { WaitingSet } from './waitingSet.js'

/** Waiting requests are shed when a loss of capacity leaves the backlog at more than this many times its limit. */
const SHED_FACTOR = 2
/** A request is refused once it has waited this many times the limit on the wait of its lane. */
const MAX_WAIT_FACTOR = 1.5
/** Delay before an overtaken request that may not start yet is checked again, in multiples of its expected cost. */
const OVERTAKEN_CHECK_FACTOR = 2

/**
 * Decides, for one service at one host, which requests are served, wait or are refused.
 *
 * Handles bursts, overload, one hot caller or key, and long jobs among short ones. With a
 * single first-in first-out queue instead, a burst leaves a backlog in which every later
 * request waits past its deadline, so that slots are spent on answers that no caller waits
 * for any more; a hot caller delays all others; and a few long jobs occupy every slot.
 *
 * - There are two lanes, for short and long work, each fair among callers and their keys (`FairLane`).
 *   Long work may only use the slots that short work does not need (`ShortDemand`).
 * - A request is refused on arrival when its expected wait and cost exceed its deadline, or
 *   when the backlog is at its limit and its caller already has its fair share of it. A
 *   caller with less work waiting displaces the latest request of the caller with the most.
 * - A waiting request is refused as soon as it can't be answered in time, not only when its
 *   deadline passes. No other request is held back.
 *
 * Every operation is logarithmic in the number of waiting callers and requests. All times
 * are monotonic milliseconds.
 */
export class AdmissionQueue {
  private readonly options: AdmissionOptions
  private readonly costs: RouteCosts
  private readonly retryAfter = new RetryAfterSpreader()
  private readonly entries = new WaitingSet()
  private readonly started = new Map<string, WaitingRequest>()
  private readonly backlog: Backlog

  constructor (options: Partial<AdmissionOptions>, private readonly random: Random) {
    this.options = { ...admissionDefaults, ...options }
    this.costs = new RouteCosts(this.options.initialCostMs)
    this.backlog = new Backlog(this.options)
  }

  get waiting (): number {
    return this.entries.size
  }

  get running (): number {
    return this.started.size
  }

  /** Expected cost of a request of the route, in milliseconds of one slot; the cost of a typical request while the route is unknown. */
  estimateCost (route: string): number {
    return this.costs.estimate(route)
  }

  /** Expected cost of a request of the route; undefined until enough answers have been measured to judge a target by it. */
  findCost (route: string): number | undefined {
    return this.costs.find(route)
  }

  /**
   * Decides on a request that has just arrived.
   *
   * `freeSlots`: slots that can be used immediately. `capacity`: slots, free or in use, that
   * this host may currently use for the service.
   */
  offer (request: QueuedRequest, freeSlots: number, capacity: number, now: number): AdmissionDecision {
    const entry = this.buildEntry(request)
    this.backlog.observe(entry, capacity, now)
    if (now >= request.deadlineAt) return this.refuse(entry, RefusalReason.deadlinePassed, capacity, now)
    if (capacity <= 0 && freeSlots <= 0) return this.refuse(entry, RefusalReason.noTarget, capacity, now)
    if (now + entry.costMs > request.deadlineAt) return this.refuse(entry, RefusalReason.deadlineUnreachable, capacity, now)
    if (freeSlots > 0 && this.backlog.isNext(entry, capacity, now)) {
      this.backlog.getLane(entry).chargeCaller(request.caller, entry.costMs)
      this.begin(entry)
      return { kind: 'start' }
    }
    const usable = Math.max(capacity, 1)
    if (now + this.backlog.estimateWait(entry, usable, now) + entry.tailMs > request.deadlineAt) return this.refuse(entry, RefusalReason.deadlineUnreachable, capacity, now)
    return this.wait(entry, usable, now)
  }

  /** Takes requests to start or refuse; must be called after each `finish`, when slots are added, and at `computeNextCheckAt`. */
  take (freeSlots: number, capacity: number, now: number): AdmissionBatch {
    const refuse = this.dropLate(capacity, now)
    refuse.push(...this.dropExcess(capacity, now))
    const start: QueuedRequest[] = []
    for (let free = freeSlots; free > 0; free -= 1) {
      const entry = this.takeNext(capacity, now)
      if (entry === undefined) break
      start.push(entry.request)
    }
    return { start, refuse }
  }

  /** Removes the waiting request of a caller that has disconnected; returns false if the request is not waiting. */
  cancel (id: string, _now: number): boolean {
    const entry = this.entries.find(id)
    if (entry === undefined) return false
    this.backlog.getLane(entry).remove(entry)
    this.entries.remove(entry)
    return true
  }

  /**
   * Records the end of a started request. `serviceTimeMs`: the time for which it held its slot; undefined where that
   * time does not show the cost.
   */
  finish (request: QueuedRequest, serviceTimeMs: number | undefined, _now: number): void {
    const entry = this.started.get(request.id)
    if (entry === undefined) return
    this.started.delete(request.id)
    if (entry.isLong) this.backlog.runningLong -= 1
    if (serviceTimeMs === undefined) return
    this.backlog.getLane(entry).updateCharge(request.caller, serviceTimeMs - entry.costMs)
    this.costs.recordServiceTime(request.route, serviceTimeMs)
  }

  /** Time by which `take` must be called even if no request ends; undefined while no request waits. */
  computeNextCheckAt (now: number): number | undefined {
    const latestStart = this.entries.findNextLatestStart()
    return latestStart === undefined ? undefined : Math.max(now, latestStart)
  }

  describe (): AdmissionStatus {
    return {
      waiting: this.waiting,
      running: this.running,
      runningLong: this.backlog.runningLong,
      waitingCostMs: this.backlog.short.waitingCostMs + this.backlog.long.waitingCostMs,
      knownCallers: this.backlog.short.knownCallers + this.backlog.long.knownCallers,
      typicalCostMs: this.costs.estimateTypical()
    }
  }

  private buildEntry (request: QueuedRequest): WaitingRequest {
    const { route } = request
    return { request, costMs: this.costs.estimate(route), tailMs: this.costs.estimateTail(route), isLong: this.costs.isLong(route) }
  }

  /**
   * Queues a new request. Once another request has been displaced for it, the new request takes that place even if
   * the queue still counts as full.
   */
  private wait (entry: WaitingRequest, capacity: number, now: number): AdmissionDecision {
    const lane = this.backlog.getLane(entry)
    const displaced: AdmissionRefusal[] = []
    for (;;) {
      const isOverFairShare = this.backlog.isOverFairShare(entry, capacity, now)
      if (!isOverFairShare && !this.backlog.isFull(entry, capacity, now)) break
      const displacedEntry = this.backlog.dropHottest(entry, isOverFairShare)
      if (displacedEntry === undefined && displaced.length > 0) break
      if (displacedEntry === undefined) return this.refuse(entry, isOverFairShare ? RefusalReason.overFairShare : this.backlog.explainFull(entry), capacity, now)
      this.entries.remove(displacedEntry)
      displaced.push(this.buildRefusal(displacedEntry, RefusalReason.overFairShare, capacity, now))
    }
    lane.push(entry)
    this.entries.add(entry, this.computeLatestStart(entry, now), now + entry.costMs)
    return { kind: 'wait', displaced }
  }

  /**
   * Latest start at which the request is still answered in time, but no later than the maximum wait: a request
   * that keeps being overtaken is refused early instead of being held.
   */
  private computeLatestStart (entry: WaitingRequest, now: number): number {
    const limitMs = entry.isLong ? this.backlog.computeWaitLimit(true, entry.costMs, now) : this.options.maxWaitMs
    const maxWaitMs = MAX_WAIT_FACTOR * limitMs
    return Math.max(now, Math.min(entry.request.deadlineAt - entry.tailMs, now + maxWaitMs))
  }

  private takeNext (capacity: number, now: number): WaitingRequest | undefined {
    const longMayStart = this.backlog.allowLong(capacity, now)
    const entry = this.takeOvertaken(longMayStart, capacity, now) ?? (longMayStart ? this.backlog.long.take() : undefined) ?? this.backlog.short.take()
    if (entry === undefined) return undefined
    this.entries.remove(entry)
    this.begin(entry)
    return entry
  }

  /**
   * Takes the request that has waited the longest beyond its own expected cost, among those whose
   * caller and key are within their fair share. Otherwise a caller that was just served is overtaken
   * in every round by callers that newly arrive: up to two dozen of them under high load. A caller
   * above its fair share keeps its regular turn, because its backlog would otherwise be served before
   * the requests of the others.
   */
  private takeOvertaken (longMayStart: boolean, capacity: number, now: number): WaitingRequest | undefined {
    for (let entry = this.entries.findOvertaken(now); entry !== undefined; entry = this.entries.findOvertaken(now)) {
      const mayStart = !entry.isLong || longMayStart
      if (!mayStart || !this.backlog.isWithinFairShare(entry, capacity, now)) {
        this.entries.schedule(entry, now + OVERTAKEN_CHECK_FACTOR * entry.costMs)
        continue
      }
      this.backlog.getLane(entry).takeEntry(entry)
      return entry
    }
    return undefined
  }

  private begin (entry: WaitingRequest): void {
    this.started.set(entry.request.id, entry)
    if (entry.isLong) this.backlog.runningLong += 1
  }

  private dropLate (capacity: number, now: number): AdmissionRefusal[] {
    const dropped: AdmissionRefusal[] = []
    for (let entry = this.entries.findLate(now); entry !== undefined; entry = this.entries.findLate(now)) {
      this.backlog.getLane(entry).remove(entry)
      this.entries.remove(entry)
      const isTooLate = now > entry.request.deadlineAt - entry.tailMs
      const reason = isTooLate ? RefusalReason.deadlineUnreachable : RefusalReason.overFairShare
      dropped.push(this.buildRefusal(entry, reason, capacity, now))
    }
    return dropped
  }

  /** Drops requests that would wait too long after a loss of slots, beginning with those of the caller with the most waiting work. */
  private dropExcess (capacity: number, now: number): AdmissionRefusal[] {
    const dropped: AdmissionRefusal[] = []
    for (const lane of [this.backlog.short, this.backlog.long]) {
      const isLong = lane === this.backlog.long
      const slots = this.backlog.countLaneSlots(isLong, Math.max(capacity, 1), now)
      const meanCostMs = lane.count === 0 ? 0 : lane.waitingCostMs / lane.count
      const limitMs = SHED_FACTOR * this.backlog.computeWaitLimit(isLong, meanCostMs, now) * slots
      while (lane.count > 1 && lane.waitingCostMs > limitMs) {
        const flow = lane.findHottest()
        const entry = flow === undefined ? undefined : lane.dropLatest(flow)
        if (entry === undefined) break
        this.entries.remove(entry)
        dropped.push(this.buildRefusal(entry, RefusalReason.queueFull, capacity, now))
      }
    }
    return dropped
  }

  private refuse (entry: WaitingRequest, reason: RefusalReason, capacity: number, now: number): AdmissionDecision {
    const { retryAfterMs } = this.buildRefusal(entry, reason, capacity, now)
    return { kind: 'refuse', reason, retryAfterMs }
  }

  private buildRefusal (entry: WaitingRequest, reason: RefusalReason, capacity: number, now: number): AdmissionRefusal {
    const backlogMs = this.backlog.getLane(entry).waitingCostMs / this.backlog.countLaneSlots(entry.isLong, Math.max(capacity, 1), now)
    const retryAfterMs = this.retryAfter.compute(entry.costMs, backlogMs, capacity, now, this.random)
    return { request: entry.request, reason, retryAfterMs }
  }
}
