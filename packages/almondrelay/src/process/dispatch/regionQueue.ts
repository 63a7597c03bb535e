import type { AdmissionQueue } from '../../request/admission/admissionQueue.js'
import type { AdmissionRefusal } from '../../request/admission/admissionRefusal.js'
import type { QueuedRequest } from '../../request/admission/queuedRequest.js'
import type { TargetChooser } from '../../request/choice/targetChooser.js'
import type { Random } from '../../request/random.js'
import { RefusalReason } from '../../request/refusalReason.js'
import type { Clock } from '../platform/clock.js'
import type { DecisionRecorder } from './decisionRecorder.js'
import type { HeldCredit } from './heldCredit.js'
import type { QueueRefusal } from './queueRefusal.js'
import type { SlotGrant } from './slotGrant.js'
import type { SlotPool } from './slotPool.js'

interface RegionQueueParts {
  service: string
  /** Region that serves what is queued here. */
  region: string
  queue: AdmissionQueue
  chooser: TargetChooser
  slots: SlotPool
  /** Slots of this host's own targets count here; false in a queue for another region. */
  usesOwnSlots: boolean
  clock: Clock
  random: Random
  recorder: DecisionRecorder
  /** Free slots that peers last reported and might grant as credits. */
  estimateCredits: () => number
  /** Called when requests wait for which there is neither a slot nor a credit. */
  wakeCreditTask: () => void
  /** Called with a credit that nobody needs any more. */
  returnCredits: (credits: HeldCredit[]) => void
  signal: AbortSignal
}

interface WaitingRequest {
  request: QueuedRequest
  /** The caller's id of the request; `request.id` names the attempt. */
  requestId: string
  excluded: ReadonlySet<string>
  resolve: (result: SlotGrant | QueueRefusal) => void
}

/** Retry-After, in milliseconds, of a request whose slot was lost to another at the last moment. */
const MIN_RETRY_MS = 100
const RETRY_SPREAD_MS = 400
/** Least time between two looks at the queue, in milliseconds. */
const MIN_CHECK_MS = 1

/** Requests of one service that wait for slots in one region: the queue, the slots and the credits together. */
export class RegionQueue {
  private readonly waiting = new Map<string, WaitingRequest>()
  private credits: HeldCredit[] = []
  private checkTimer: AbortController | undefined
  private lastShortage: RefusalReason = RefusalReason.noCredit

  constructor (private readonly parts: RegionQueueParts) {}

  get service (): string {
    return this.parts.service
  }

  get region (): string {
    return this.parts.region
  }

  countWaiting (): number {
    return this.parts.queue.waiting
  }

  /** Credits that would be used at once. */
  countWanted (): number {
    return Math.max(0, this.parts.queue.waiting - this.countCredits(this.parts.clock.getNow()))
  }

  /** Expected service time of a route, in milliseconds; undefined before one was learnt. */
  findCost (route: string): number | undefined {
    return this.parts.queue.findCost(route)
  }

  /** Waits for a slot; a refusal is final for this attempt. */
  admit (request: QueuedRequest, requestId: string, excluded: ReadonlySet<string>, signal: AbortSignal): Promise<SlotGrant | QueueRefusal> {
    const { queue, clock, recorder } = this.parts
    const now = clock.getNow()
    const free = this.countFree(now)
    const capacity = this.computeCapacity(free)
    const decision = queue.offer(request, free, capacity, now)
    recorder.record({ decision: 'admission', requestId, input: { service: this.service, region: this.region, caller: request.caller, key: request.key, route: request.route, deadlineMs: Math.round(request.deadlineAt - now), free, capacity, waiting: queue.waiting }, output: { ...decision } })
    if (decision.kind === 'refuse') return Promise.resolve(this.explainRefusal(decision.reason, decision.retryAfterMs))
    const result = new Promise<SlotGrant | QueueRefusal>((resolve) => {
      this.waiting.set(request.id, { request, requestId, excluded, resolve })
    })
    signal.addEventListener('abort', () => { this.cancel(request) }, { once: true })
    if (decision.kind === 'start') this.start(request, now)
    else this.refuse(decision.displaced)
    this.scheduleCheck(now)
    this.requestCredits()
    return result
  }

  /** Takes note of an attempt's end and lets the next ones go. */
  finish (request: QueuedRequest, serviceTimeMs: number | undefined): void {
    const now = this.parts.clock.getNow()
    this.parts.queue.finish(request, serviceTimeMs, now)
    this.advance(now)
  }

  addCredits (credits: HeldCredit[]): void {
    this.credits.push(...credits)
    this.advance(this.parts.clock.getNow())
    this.returnUnused()
  }

  /** Why the last request for credits brought too few. */
  observeShortage (reason: RefusalReason): void {
    this.lastShortage = reason
  }

  /** Hands out what is free now; called whenever slots may have become free. */
  advance (now: number): void {
    const { queue } = this.parts
    const free = this.countFree(now)
    const batch = queue.take(free, this.computeCapacity(free), now)
    for (const request of batch.start) this.start(request, now)
    this.refuse(batch.refuse)
    this.scheduleCheck(now)
    this.requestCredits()
  }

  private start (request: QueuedRequest, now: number): void {
    const waiting = this.waiting.get(request.id)
    if (waiting === undefined) {
      this.parts.queue.finish(request, undefined, now)
      return
    }
    this.waiting.delete(request.id)
    waiting.resolve(this.takeSlot(waiting, now) ?? this.refuseForSlot(request, now))
  }

  private takeSlot (waiting: WaitingRequest, now: number): SlotGrant | undefined {
    return this.takeOwnSlot(waiting, now) ?? this.takeCredit(now)
  }

  private takeOwnSlot (waiting: WaitingRequest, now: number): SlotGrant | undefined {
    if (!this.parts.usesOwnSlots) return undefined
    const { chooser, slots, random, recorder, service } = this.parts
    const free = slots.getFree(service, now)
    const choice = chooser.choose(free, waiting.excluded, now, random) ?? chooser.choose(free, new Set(), now, random)
    if (choice === undefined) return undefined
    recorder.record({ decision: 'choice', requestId: waiting.requestId, input: { service, free: Object.fromEntries(free), excluded: [...waiting.excluded] }, output: { ...choice } })
    const isTaken = slots.acquire(service, choice.target, waiting.request.id, waiting.request.deadlineAt, now)
    return isTaken ? { kind: 'own', target: choice.target } : undefined
  }

  private takeCredit (now: number): SlotGrant | undefined {
    this.countCredits(now)
    const credit = this.credits.shift()
    return credit === undefined ? undefined : { kind: 'credit', credit }
  }

  /** The queue let it start on a slot that is gone by now; the caller is told at once. */
  private refuseForSlot (request: QueuedRequest, now: number): QueueRefusal {
    this.parts.queue.finish(request, undefined, now)
    const reason = this.parts.slots.shortage ?? RefusalReason.noTarget
    return { kind: 'refused', reason, retryAfterMs: Math.round(MIN_RETRY_MS + this.parts.random() * RETRY_SPREAD_MS) }
  }

  private refuse (refusals: AdmissionRefusal[]): void {
    for (const { request, reason, retryAfterMs } of refusals) {
      const waiting = this.waiting.get(request.id)
      this.waiting.delete(request.id)
      waiting?.resolve(this.explainRefusal(reason, retryAfterMs))
    }
  }

  /** Names the shortage of credits where this host has no slot of its own to wait for. */
  private explainRefusal (reason: RefusalReason, retryAfterMs: number): QueueRefusal {
    const isStarved = this.parts.queue.running === 0 && this.countFree(this.parts.clock.getNow()) === 0
    return { kind: 'refused', reason: isStarved ? this.findShortage() : reason, retryAfterMs }
  }

  /** What kept this queue from a slot: a limit of the own region, or what the peers said last. */
  private findShortage (): RefusalReason {
    return (this.parts.usesOwnSlots ? this.parts.slots.shortage : undefined) ?? this.lastShortage
  }

  private cancel (request: QueuedRequest): void {
    const waiting = this.waiting.get(request.id)
    if (waiting === undefined || waiting.request !== request) return
    this.waiting.delete(request.id)
    this.parts.queue.cancel(request.id, this.parts.clock.getNow())
    waiting.resolve({ kind: 'refused', reason: RefusalReason.cancelled, retryAfterMs: 0 })
    this.returnUnused()
  }

  /** Credits in hand. One that has lapsed is forgotten: counted, it would keep another from being asked for. */
  private countCredits (now: number): number {
    this.credits = this.credits.filter((credit) => credit.expiresAt > now)
    return this.credits.length
  }

  private countFree (now: number): number {
    const credits = this.countCredits(now)
    if (!this.parts.usesOwnSlots) return credits
    return credits + Math.min(this.parts.slots.countFree(this.service, now), this.parts.chooser.countReady(now))
  }

  /** Slots that this queue's work may hold at once, as far as is known; peers count only where this host has none. */
  private computeCapacity (free: number): number {
    const own = free + this.parts.queue.running
    return own > 0 ? own : this.parts.estimateCredits()
  }

  private returnUnused (): void {
    const unused = this.credits.splice(this.parts.queue.waiting)
    if (unused.length > 0) this.parts.returnCredits(unused)
  }

  private requestCredits (): void {
    const wanted = this.countWanted()
    if (wanted === 0) return
    if (this.parts.usesOwnSlots) this.parts.slots.observeWaiting(this.service, wanted)
    this.parts.wakeCreditTask()
  }

  private scheduleCheck (now: number): void {
    const at = this.parts.queue.computeNextCheckAt(now)
    this.checkTimer?.abort()
    if (at === undefined) return
    const timer = new AbortController()
    this.checkTimer = timer
    void this.parts.clock.sleep(Math.max(MIN_CHECK_MS, at - now), timer.signal).then(() => {
      if (!timer.signal.aborted && !this.parts.signal.aborted) this.advance(this.parts.clock.getNow())
    })
  }
}
