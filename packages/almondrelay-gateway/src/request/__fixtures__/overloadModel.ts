import { createSeededRandom } from 'almondrelay'
import { computeShareDraw } from '../computeShareDraw.js'
import { computeShareFraction } from '../computeShareFraction.js'
import { computeShareRetryAfter } from '../computeShareRetryAfter.js'
import type { OverloadSnapshot } from '../overloadSnapshot.js'
import { ServiceShares } from '../serviceShares.js'
import { SHARE_SLOT_MS } from '../shareSlotMs.js'
import { sumWork } from '../sumWork.js'
import { WorkMeter } from '../workMeter.js'
import { EventHeap } from './eventHeap.js'
import type { ModelClass } from './modelClass.js'
import type { ModelOptions } from './modelOptions.js'
import { PriorityThreshold } from './priorityThreshold.js'

const HOSTS = 24
const TARGETS = 20
const SLOTS = 3
const MEAN_WORK_MS = 110
/** Standard deviation of the logarithm of the work. */
const WORK_SPREAD = 0.5
const OBJECTIVE_MS = 300
const TIMEOUT_MS = 2_000
/** Milliseconds between two updates, and from the sums to the snapshot at each host: two datagrams and half an interval each. */
const UPDATE_INTERVAL_MS = 500
const PICTURE_DELAY_MS = 300
const MIN_RETRY_AFTER_MS = 40
const REPEATS = 3
const REPEAT_DELAY_MS = 5
/** Seconds at the start that don't count for the result, until the first snapshot. */
const WARM_UP_MS = 5_000
/** Load rises to that of the pattern within this time, from this part of it. */
const RAMP_MS = 3_000
const CALM_LOAD = 0.5
const HASH_RANGE = 2 ** 32

interface Count {
  asked: number
  inTime: number
}

interface ModelCaller {
  each: ModelClass
  hash: number
  since: number
  leavesAt: number
  repeats: boolean
  attempts: number
  /** Whether it was told a slot in which its request will be drawn, and came back in it. */
  cameAsTold: boolean
}

interface ModelWork {
  caller: ModelCaller
  arrivedAt: number
  workMs: number
}

class ModelTarget {
  running = 0
  readonly queue: ModelWork[] = []
}

/** One service in one region under more load than its targets take, in virtual time: callers, hosts, targets with queues. */
export class OverloadModel {
  readonly byOrganisation = new Map<number, Count>()
  readonly byRoute = new Map<number, Count>()
  readonly told: Count = { asked: 0, inTime: 0 }
  readonly repeating: Count = { asked: 0, inTime: 0 }
  readonly patient: Count = { asked: 0, inTime: 0 }
  refusals = 0
  workMs = 0
  changes = 0
  private now = 0
  private readonly events = new EventHeap()
  private readonly random: () => number
  private readonly meters = Array.from({ length: HOSTS }, () => new WorkMeter())
  private readonly targets = Array.from({ length: TARGETS }, () => new ModelTarget())
  private readonly shares = new ServiceShares()
  private readonly threshold: PriorityThreshold
  private snapshot: OverloadSnapshot | undefined

  constructor (private readonly options: ModelOptions) {
    this.random = createSeededRandom(options.seed)
    this.threshold = new PriorityThreshold(1 + Math.max(...options.classes.map((each) => this.computeRank(each))))
  }

  static get capacityMs (): number {
    return TARGETS * SLOTS * 1_000
  }

  /** Work done after the start, as a part of the capacity. */
  get usedShare (): number {
    return this.workMs / (OverloadModel.capacityMs * (this.options.seconds - WARM_UP_MS / 1_000))
  }

  run (): this {
    for (const each of this.options.classes) this.scheduleCaller(each)
    this.events.push(UPDATE_INTERVAL_MS, () => { this.update() })
    while (this.events.nextAt < this.options.seconds * 1_000) {
      this.now = this.events.nextAt
      this.events.take()()
    }
    return this
  }

  private computeRank ({ organisationPriority, routePriority }: ModelClass): number {
    return organisationPriority * (1 + Math.max(...this.options.classes.map((each) => each.routePriority))) + routePriority
  }

  private scheduleCaller (each: ModelClass): void {
    const perSecond = each.load * TARGETS * SLOTS * 1_000 / MEAN_WORK_MS
    const factor = (this.options.findFactor?.(each, this.now) ?? 1) * Math.min(1, (this.now + CALM_LOAD * RAMP_MS) / RAMP_MS)
    const gapMs = -Math.log(1 - this.random()) / (perSecond * factor) * 1_000
    this.events.push(this.now + gapMs, () => {
      const { leavingShare = 0, repeatingShare = 0 } = this.options
      const leavesAt = this.now + (this.random() < leavingShare ? OBJECTIVE_MS / 2 : TIMEOUT_MS)
      const caller = { each, hash: Math.floor(this.random() * HASH_RANGE), since: this.now, leavesAt, repeats: this.random() < repeatingShare, attempts: 0, cameAsTold: false }
      for (const count of this.listCounts(caller)) count.asked += 1
      this.call(caller)
      this.scheduleCaller(each)
    })
  }

  private listCounts (caller: ModelCaller): Count[] {
    if (caller.since < WARM_UP_MS || caller.since > this.options.seconds * 1_000 - TIMEOUT_MS) return []
    return [findCount(this.byOrganisation, caller.each.organisation), findCount(this.byRoute, caller.each.route), caller.repeats ? this.repeating : this.patient]
  }

  private call (caller: ModelCaller): void {
    caller.attempts += 1
    const { cameAsTold } = caller
    caller.cameAsTold = false
    if (this.now >= caller.leavesAt - MEAN_WORK_MS / 2) return
    const meter = this.meters[Math.floor(this.random() * HOSTS)] as WorkMeter
    const retryAfterMs = this.decide(caller)
    meter.observeRequest(caller.each, MEAN_WORK_MS, retryAfterMs === 0, this.now)
    if (cameAsTold && this.now >= WARM_UP_MS) {
      this.told.asked += 1
      if (retryAfterMs === 0) this.told.inTime += 1
    }
    if (retryAfterMs > 0) this.refuse(caller, retryAfterMs)
    else this.sendToTarget(caller, meter)
  }

  private decide (caller: ModelCaller): number {
    const { way } = this.options
    const slot = Math.floor(this.now / SHARE_SLOT_MS)
    if (way === 'threshold') {
      const level = this.threshold.computeLevel(this.computeRank(caller.each), caller.hash, slot)
      this.threshold.observeLevel(level, MEAN_WORK_MS)
      return level < this.threshold.threshold ? 0 : Math.max(MIN_RETRY_AFTER_MS, (caller.leavesAt - this.now) * (1 + this.random()) / 6)
    }
    if (way === 'none' || this.snapshot === undefined) return 0
    const fraction = computeShareFraction(this.snapshot, caller.each)
    if (computeShareDraw(caller.hash, slot) < fraction) return 0
    const afterMs = computeShareRetryAfter({ fraction, requestHash: caller.hash, clockMs: this.now, remainingMs: caller.leavesAt - this.now, random: this.random() })
    caller.cameAsTold = !caller.repeats && computeShareDraw(caller.hash, Math.floor((this.now + afterMs) / SHARE_SLOT_MS)) < fraction
    return afterMs
  }

  private refuse (caller: ModelCaller, retryAfterMs: number): void {
    this.refusals += 1
    if (caller.repeats && caller.attempts > REPEATS) return
    this.events.push(this.now + (caller.repeats ? REPEAT_DELAY_MS : Math.max(REPEAT_DELAY_MS, retryAfterMs)), () => { this.call(caller) })
  }

  private sendToTarget (caller: ModelCaller, meter: WorkMeter): void {
    const target = this.chooseTarget()
    const waitMs = Math.max(0, target.running + target.queue.length + 1 - SLOTS) / SLOTS * MEAN_WORK_MS
    const maxWaitMs = Math.min(caller.leavesAt - this.now, (OBJECTIVE_MS - MEAN_WORK_MS) * 0.9)
    const isFull = waitMs > maxWaitMs
    meter.observeAdmitted(MEAN_WORK_MS, !isFull, isFull, this.now)
    if (isFull) {
      this.refuse(caller, Math.max(MIN_RETRY_AFTER_MS, waitMs - maxWaitMs))
      return
    }
    target.queue.push({ caller, arrivedAt: this.now, workMs: MEAN_WORK_MS * Math.exp(WORK_SPREAD * this.sampleNormal() - WORK_SPREAD ** 2 / 2) })
    this.startWork(target)
  }

  private chooseTarget (): ModelTarget {
    const [one, other] = [this.pickTarget(), this.pickTarget()]
    return one.running + one.queue.length <= other.running + other.queue.length ? one : other
  }

  private pickTarget (): ModelTarget {
    return this.targets[Math.floor(this.random() * TARGETS)] as ModelTarget
  }

  private startWork (target: ModelTarget): void {
    while (target.running < SLOTS) {
      const work = target.queue.shift()
      if (work === undefined) return
      if (work.caller.leavesAt <= this.now) continue
      target.running += 1
      this.events.push(this.now + work.workMs, () => {
        target.running -= 1
        this.finishWork(work)
        this.startWork(target)
      })
    }
  }

  private finishWork ({ caller, arrivedAt, workMs }: ModelWork): void {
    if (this.now >= WARM_UP_MS) this.workMs += workMs
    if (this.now > caller.leavesAt || this.now - arrivedAt > OBJECTIVE_MS) return
    for (const count of this.listCounts(caller)) count.inTime += 1
  }

  private update (): void {
    const sums = sumWork(this.meters.map((meter) => meter.describe(this.now)))
    const wasOverloaded = this.shares.isOverloaded
    if (this.options.way === 'threshold') this.threshold.update(sums, this.now)
    if (this.options.way === 'shares') {
      const snapshot = this.shares.update(sums, this.now)
      if (this.options.isLinked?.(this.now) !== false) this.events.push(this.now + PICTURE_DELAY_MS, () => { this.snapshot = snapshot })
    }
    if (this.shares.isOverloaded !== wasOverloaded) this.changes += 1
    this.events.push(this.now + UPDATE_INTERVAL_MS, () => { this.update() })
  }

  private sampleNormal (): number {
    return Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random())
  }
}

const findCount = (counts: Map<number, Count>, key: number): Count => {
  const count = counts.get(key) ?? { asked: 0, inTime: 0 }
  counts.set(key, count)
  return count
}
