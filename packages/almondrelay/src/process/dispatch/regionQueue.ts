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
  /** Region whose targets serve the queued requests. */
  region: string
  queue: AdmissionQueue
  chooser: TargetChooser
  slots: SlotPool
  /** Whether slots of this host's own targets may be used; false in a queue for another region. */
  usesOwnSlots: boolean
  clock: Clock
  random: Random
  recorder: DecisionRecorder
  /** Returns the number of free slots that peers last reported and might grant as credits. */
  estimateCredits: () => number
  /** Called when requests wait for which there is neither a free slot nor a credit. */
  wakeCreditTask: () => void
  /** Called with credits that no waiting request needs. */
  returnCredits: (credits: HeldCredit[]) => void
  signal: AbortSignal
}

interface WaitingRequest {
  request: QueuedRequest
  /** Id that the caller gave the request; `request.id` identifies the attempt. */
  requestId: string
  /** Targets that earlier attempts of the request used; they are chosen only if no other is available. */
  excluded: ReadonlySet<string>
  resolve: (result: SlotGrant | QueueRefusal) => void
}

/** Shortest Retry-After, in milliseconds, of a request that the queue admitted but whose slot was no longer free. */
const MIN_RETRY_AFTER_MS = 100
/** Range of the random time added to that, in milliseconds, so that such requests don't all return together. */
const RETRY_AFTER_JITTER_MS = 400
/** Minimum delay before a scheduled check of the queue, in milliseconds. */
const MIN_CHECK_DELAY_MS = 1

/** Requests of one service that wait for slots in one region; combines the admission queue with the slots and credits that it can use. */
export class RegionQueue {
  private readonly waiting = new Map<string, WaitingRequest>()
  private credits: HeldCredit[] = []
  private checkTimer: AbortController | undefined
  private lastPeerReason: RefusalReason = RefusalReason.noCredit

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

  /** Number of further credits that waiting requests could use at once. */
  countWantedCredits (): number {
    return Math.max(0, this.parts.queue.waiting - this.countCredits(this.parts.clock.getNow()))
  }

  /** Expected service time of a route, in milliseconds; undefined until one has been measured. */
  findCost (route: string): number | undefined {
    return this.parts.queue.findCost(route)
  }

  /** Queues an attempt until it gets a slot or is refused; a refusal is final for this attempt. */
  admit (request: QueuedRequest, requestId: string, excluded: ReadonlySet<string>, signal: AbortSignal): Promise<SlotGrant | QueueRefusal> {
    const { queue, clock, recorder } = this.parts
    const now = clock.getNow()
    const free = this.countFree(now)
    const capacity = this.computeCapacity(free)
    const decision = queue.offer(request, free, capacity, now)
    recorder.record({ decision: 'admission', requestId, input: { service: this.service, region: this.region, caller: request.caller, key: request.key, route: request.route, deadlineMs: Math.round(request.deadlineAt - now), free, capacity, waiting: queue.waiting }, output: { ...decision } })
    if (decision.kind === 'refuse') return Promise.resolve(this.buildQueueRefusal(decision.reason, decision.retryAfterMs))
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

  /** Records the end of an attempt and starts waiting requests if there are free slots. */
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

  /** Records why a peer granted no credits when last asked. */
  observeShortage (reason: RefusalReason): void {
    this.lastPeerReason = reason
  }

  /** Assigns free slots and credits to waiting requests; called whenever slots may have become free. */
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
    waiting.resolve(this.takeSlot(waiting, now) ?? this.refuseLostSlot(request, now))
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
    const isAcquired = slots.acquire(service, choice.target, waiting.request.id, waiting.request.deadlineAt, now)
    return isAcquired ? { kind: 'own', target: choice.target } : undefined
  }

  private takeCredit (now: number): SlotGrant | undefined {
    this.countCredits(now)
    const credit = this.credits.shift()
    return credit === undefined ? undefined : { kind: 'credit', credit }
  }

  /** Refuses a request that the queue admitted but for which neither a slot nor a credit could be taken. */
  private refuseLostSlot (request: QueuedRequest, now: number): QueueRefusal {
    this.parts.queue.finish(request, undefined, now)
    const reason = this.parts.slots.shortage ?? RefusalReason.noTarget
    return { kind: 'refused', reason, retryAfterMs: Math.round(MIN_RETRY_AFTER_MS + this.parts.random() * RETRY_AFTER_JITTER_MS) }
  }

  private refuse (refusals: AdmissionRefusal[]): void {
    for (const { request, reason, retryAfterMs } of refusals) {
      const waiting = this.waiting.get(request.id)
      this.waiting.delete(request.id)
      waiting?.resolve(this.buildQueueRefusal(reason, retryAfterMs))
    }
  }

  /** Gives the shortage as the reason where nothing of this queue runs and no slot or credit is free. */
  private buildQueueRefusal (reason: RefusalReason, retryAfterMs: number): QueueRefusal {
    const hasNoSlots = this.parts.queue.running === 0 && this.countFree(this.parts.clock.getNow()) === 0
    return { kind: 'refused', reason: hasNoSlots ? this.findShortageReason() : reason, retryAfterMs }
  }

  /** Why this queue gets no slot: a limit of the own region, or else the reason that a peer gave last. */
  private findShortageReason (): RefusalReason {
    return (this.parts.usesOwnSlots ? this.parts.slots.shortage : undefined) ?? this.lastPeerReason
  }

  private cancel (request: QueuedRequest): void {
    const waiting = this.waiting.get(request.id)
    if (waiting === undefined || waiting.request !== request) return
    this.waiting.delete(request.id)
    this.parts.queue.cancel(request.id, this.parts.clock.getNow())
    waiting.resolve({ kind: 'refused', reason: RefusalReason.cancelled, retryAfterMs: 0 })
    this.returnUnused()
  }

  /** Counts the held credits and discards lapsed ones: if counted, a lapsed credit would prevent the request for a new one. */
  private countCredits (now: number): number {
    this.credits = this.credits.filter((credit) => credit.expiresAt > now)
    return this.credits.length
  }

  private countFree (now: number): number {
    const credits = this.countCredits(now)
    if (!this.parts.usesOwnSlots) return credits
    return credits + Math.min(this.parts.slots.countFree(this.service, now), this.parts.chooser.countReady(now))
  }

  /** Estimates how many slots the queue's requests may hold at once; free slots of peers count only where this host holds none. */
  private computeCapacity (free: number): number {
    const usableSlots = free + this.parts.queue.running
    return usableSlots > 0 ? usableSlots : this.parts.estimateCredits()
  }

  private returnUnused (): void {
    const unused = this.credits.splice(this.parts.queue.waiting)
    if (unused.length > 0) this.parts.returnCredits(unused)
  }

  private requestCredits (): void {
    const wanted = this.countWantedCredits()
    if (wanted === 0) return
    if (this.parts.usesOwnSlots) this.parts.slots.observeWaiting(this.service, wanted)
    this.parts.wakeCreditTask()
  }

  private scheduleCheck (now: number): void {
    const checkAt = this.parts.queue.computeNextCheckAt(now)
    this.checkTimer?.abort()
    if (checkAt === undefined) return
    const timer = new AbortController()
    this.checkTimer = timer
    void this.parts.clock.sleep(Math.max(MIN_CHECK_DELAY_MS, checkAt - now), timer.signal).then(() => {
      if (!timer.signal.aborted && !this.parts.signal.aborted) this.advance(this.parts.clock.getNow())
    })
  }
}
