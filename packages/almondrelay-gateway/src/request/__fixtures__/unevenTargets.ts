import { computeHash } from '../../version/computeHash.js'
import { chooseTarget } from '../chooseTarget.js'
import { decideAdmission } from '../decideAdmission.js'
import { observeWork } from '../observeWork.js'
import { SecondPlaces } from '../secondPlaces.js'
import { ServiceTimes } from '../serviceTimes.js'
import { StatementPool } from '../statementPool.js'
import type { TargetChoice } from '../targetChoice.js'
import type { TargetState } from '../targetState.js'
import { makeContext } from './makeContext.js'
import { makeTarget } from './makeTarget.js'
import type { UnevenTargetsOptions } from './unevenTargetsOptions.js'

const WARM_MS = 110
const COLD_MS = 370
const LATENCY_OBJECTIVE_MS = 300
const CALLER_ROUND_TRIP_MS = 16
const ZONE_ROUND_TRIP_MS = 0.4
const REGION_ROUND_TRIP_MS = 8.8
const SLOTS = 3
const QUEUE_LENGTH = 9
const SLOW_SHARE = 0.15
const SLOW_FACTOR = 2.5
/** Share of requests that take seven times as long as others of their kind. */
const LONG_SHARE = 0.03
const LONG_FACTOR = 7
const PHASE_MS = 600
/** Milliseconds between two reports of a host's running requests, with 24 peers. */
const COUNT_INTERVAL_MS = 500
/** Milliseconds between two sends of a host's statements to its zone's aggregator, and between two of the aggregator's. */
const COLLECT_INTERVAL_MS = 100
const SPREAD_INTERVAL_MS = 200
const MAX_STATEMENTS = 24

interface ModelTarget {
  index: number
  zone: number
  phase: number
  cached: Map<number, true>
  running: number
  queue: Array<() => void>
}

interface ModelHost {
  zone: number
  targets: TargetState[]
  times: ServiceTimes
  places: SecondPlaces
}

interface ModelRequest {
  host: ModelHost
  choice: TargetChoice
  keyHash: number
  workFactor: number
  collectDelayMs: number
  isCounted: boolean
}

/**
 * Simulates hosts and targets of one region in virtual time, to compare ways of choosing by the share of requests that are answered
 * within the latency objective: targets that are 2.5 times as slow for 0.6 s at a time, and that remember few objects.
 */
export class UnevenTargets {
  readonly counts = { requests: 0, onTime: 0, refused: 0, cold: 0, second: 0, slow: 0 }
  private now = 0
  private order = 0
  private readonly events: Array<{ at: number, order: number, run: () => void }> = []
  private readonly targets: ModelTarget[]
  private readonly hosts: ModelHost[]
  /** What the aggregator of each zone tells the hosts of its zone. */
  private readonly pools = [new StatementPool(), new StatementPool()]
  private readonly keyHashes: number[]
  private state: number

  constructor (private readonly options: UnevenTargetsOptions) {
    this.state = options.seed
    this.targets = Array.from({ length: options.targets }, (_, index) => ({ index, zone: index % 2, phase: this.generate() * PHASE_MS, cached: new Map(), running: 0, queue: [] }))
    this.hosts = Array.from({ length: options.hosts }, (_, index) => ({
      zone: index % 2,
      targets: this.targets.map((target) => makeTarget({ id: `target-${options.seed}-${target.index}`, slots: SLOTS })),
      times: new ServiceTimes(),
      places: new SecondPlaces()
    }))
    this.keyHashes = Array.from({ length: options.objects }, (_, index) => computeHash(`object ${options.seed} ${index}`))
  }

  /** Runs the model and returns the share of requests that were on time after the first quarter, in which objects are cached. */
  simulate (): number {
    const endsAt = this.options.seconds * 1_000
    this.schedule(0, () => { this.handleArrival() })
    this.scheduleAll(COUNT_INTERVAL_MS, () => { this.reportCounts() })
    if (this.options.exchanges && this.options.statesSpeed) this.scheduleAll(SPREAD_INTERVAL_MS, () => { this.spreadStatements() })
    for (let event = this.take(); event !== undefined && event.at < endsAt; event = this.take()) {
      this.now = event.at
      event.run()
    }
    return this.counts.onTime / this.counts.requests
  }

  private handleArrival (): void {
    const { perSecond, objects } = this.options
    const rate = perSecond * (1 + 0.5 * Math.sin(this.now / 700))
    this.schedule(-Math.log(1 - this.generate()) / rate * 1_000, () => { this.handleArrival() })
    const host = this.hosts[Math.floor(this.generate() * this.hosts.length)] as ModelHost
    // Popularity between even and Zipf's.
    const keyHash = this.keyHashes[Math.floor(this.generate() ** 1.5 * objects)] as number
    // Drawn with the arrival, so that ways are compared on the same requests.
    const workFactor = (0.85 + 0.3 * this.generate()) * (this.generate() < LONG_SHARE ? LONG_FACTOR : 1)
    const collectDelayMs = this.generate() * COLLECT_INTERVAL_MS
    const isCounted = this.now > this.options.seconds * 250
    if (isCounted) this.counts.requests += 1
    const { times, places } = host
    const choice = chooseTarget(host.targets, makeContext({
      now: this.now,
      keyHash,
      findRoundTripMs: () => REGION_ROUND_TRIP_MS / 2,
      warmMs: times.getWarmMs(LATENCY_OBJECTIVE_MS),
      coldMs: times.getColdMs(LATENCY_OBJECTIVE_MS),
      meanMs: times.getMeanMs(LATENCY_OBJECTIVE_MS),
      targetLatencyMs: LATENCY_OBJECTIVE_MS,
      places,
      canSpill: false
    }))
    if (choice === undefined || decideAdmission({ choice, targetLatencyMs: LATENCY_OBJECTIVE_MS, elapsedMs: 0, remainingMs: 1_500 }) > 0) {
      if (isCounted) this.counts.refused += 1
      return
    }
    this.send({ host, choice, keyHash, workFactor, collectDelayMs, isCounted })
  }

  private send (request: ModelRequest): void {
    const { host, choice, keyHash, workFactor, isCounted } = request
    const target = this.targets[host.targets.indexOf(choice.target)] as ModelTarget
    const roundTripMs = target.zone === host.zone ? ZONE_ROUND_TRIP_MS : REGION_ROUND_TRIP_MS
    const sentAt = this.now
    choice.target.inFlight += 1
    choice.target.findStated(sentAt)?.observeSend(sentAt)
    if (isCounted && choice.rank > 0) this.counts.second += 1
    this.schedule(roundTripMs / 2, () => {
      const begin = (): void => {
        target.running += 1
        const isCached = target.cached.has(keyHash)
        if (isCounted && !isCached) this.counts.cold += 1
        if (isCounted && this.findSlowness(target, this.now) > 1) this.counts.slow += 1
        const workMs = (isCached ? WARM_MS : COLD_MS) * workFactor
        this.schedule(this.computeDuration(target, workMs), () => { this.finish(request, target, sentAt, roundTripMs) })
      }
      if (target.running < SLOTS) begin()
      else if (target.queue.length < QUEUE_LENGTH) target.queue.push(begin)
      else {
        choice.target.inFlight -= 1
        choice.target.observeFailure(this.now)
      }
    })
  }

  private finish ({ host, choice, keyHash, collectDelayMs, isCounted }: ModelRequest, target: ModelTarget, sentAt: number, roundTripMs: number): void {
    target.running -= 1
    target.cached.delete(keyHash)
    target.cached.set(keyHash, true)
    if (target.cached.size > this.options.memory) target.cached.delete(target.cached.keys().next().value as number)
    target.queue.shift()?.()
    const percent = this.findSlowness(target, this.now) * 100
    const statement = { running: target.running, waiting: target.queue.length, speedPercent: this.options.stateSpeed?.(percent, target.index, this.now) ?? percent }
    this.schedule(roundTripMs / 2, () => {
      choice.target.inFlight -= 1
      const durationMs = this.now - sentAt
      if (isCounted && durationMs + CALLER_ROUND_TRIP_MS <= LATENCY_OBJECTIVE_MS) this.counts.onTime += 1
      if (this.options.statesSpeed) {
        choice.target.receiveStatement(statement, this.now)
        const statedAt = this.now
        this.schedule(collectDelayMs, () => { this.pools[host.zone]?.put({ ...statement, incarnationHash: target.index, statedAt }, true) })
      }
      const usualMs = observeWork({ choice, workMs: Math.max(1, durationMs - choice.roundTripMs - choice.waitMs), speedPercent: this.options.statesSpeed ? statement.speedPercent : undefined, warmMs: host.times.getWarmMs(LATENCY_OBJECTIVE_MS), coldMs: host.times.getColdMs(LATENCY_OBJECTIVE_MS), places: host.places, now: this.now })
      host.times.observeAnswer(usualMs, choice.isCached, LATENCY_OBJECTIVE_MS)
      choice.target.warmKeys.add(keyHash)
    })
  }

  private reportCounts (): void {
    for (const [index, sender] of this.hosts.entries()) {
      const counts = sender.targets.map(({ inFlight }) => inFlight)
      for (const receiver of this.hosts) if (receiver !== sender) for (const [target, count] of counts.entries()) receiver.targets[target]?.receivePeerCount(String(index), count, this.now)
    }
  }

  private spreadStatements (): void {
    for (const [zone, pool] of this.pools.entries()) {
      for (const { statement, isOwnZone } of pool.takeDue(MAX_STATEMENTS, this.now)) {
        for (const host of this.hosts) if (host.zone === zone) host.targets[statement.incarnationHash]?.receiveStatement(statement, statement.statedAt)
        if (isOwnZone) this.schedule(REGION_ROUND_TRIP_MS / 2, () => { this.pools[1 - zone]?.put(statement, false) })
      }
    }
  }

  private findSlowness (target: ModelTarget, at: number): number {
    const phase = Math.floor((at + target.phase) / PHASE_MS)
    return computeHash(`${this.options.seed} ${target.index} ${phase}`) / 2 ** 32 < SLOW_SHARE ? SLOW_FACTOR : 1
  }

  private computeDuration (target: ModelTarget, workMs: number): number {
    let at = this.now
    for (let left = workMs; ;) {
      const slowness = this.findSlowness(target, at)
      const endsAt = (Math.floor((at + target.phase) / PHASE_MS) + 1) * PHASE_MS - target.phase
      if (left * slowness <= endsAt - at) return at + left * slowness - this.now
      left -= (endsAt - at) / slowness
      at = endsAt + 1e-6
    }
  }

  private scheduleAll (intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run()
      this.scheduleAll(intervalMs, run)
    })
  }

  /** Puts an event into the heap of events. */
  private schedule (delayMs: number, run: () => void): void {
    const { events } = this
    const event = { at: this.now + delayMs, order: this.order += 1, run }
    let index = events.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      const above = events[parent] as typeof event
      if (!isEarlier(event, above)) break
      events[index] = above
      index = parent
    }
    events[index] = event
  }

  private take (): { at: number, run: () => void } | undefined {
    const { events } = this
    const [first] = events
    const last = events.pop()
    if (first === undefined || last === undefined || first === last) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      const right = events[child + 1]
      if (right !== undefined && isEarlier(right, events[child] as typeof right)) child += 1
      const below = events[child]
      if (below === undefined || !isEarlier(below, last)) break
      events[index] = below
      index = child
    }
    events[index] = last
    return first
  }

  private generate (): number {
    this.state = Math.imul(this.state ^ (this.state >>> 15), 0x2c1b3c6d) + 0x9e3779b9 | 0
    let mixed = Math.imul(this.state ^ (this.state >>> 16), 0x85ebca6b)
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
    return ((mixed ^ (mixed >>> 16)) >>> 0) / 2 ** 32
  }
}

const isEarlier = (one: { at: number, order: number }, other: { at: number, order: number }): boolean => one.at < other.at || (one.at === other.at && one.order < other.order)
