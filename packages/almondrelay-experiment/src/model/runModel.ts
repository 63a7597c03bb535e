import { createSeededRandom } from 'almondrelay'
import type { SteeringWay } from '../steering/steeringWay.js'
import type { KnownTarget } from '../steering/knownTarget.js'
import { deployment } from './deployment.js'
import { EventQueue } from './eventQueue.js'
import type { loadPattern } from './loadPattern.js'
import { ModelTarget } from './modelTarget.js'
import type { ModelRequest } from './modelRequest.js'
import type { RunResult } from './runResult.js'

type Pattern = (typeof loadPattern)[keyof typeof loadPattern]

interface RunOptions {
  pattern: Pattern
  makeWay: (targets: readonly KnownTarget[], region: string) => SteeringWay
  seed: number
}

const MS_PER_SECOND = 1_000
const HASH_RANGE = 2 ** 32

/** One run of a load pattern; the same seed gives the same requests to every way. */
export function runModel ({ pattern, makeWay, seed }: RunOptions): RunResult {
  const random = createSeededRandom(seed)
  const chance = createSeededRandom(seed + 1)
  const events = new EventQueue()
  const targets = deployment.regions.flatMap((region, index) => makeTargets(region, deployment.targetsPerRegion[index] as number, events))
  const known = targets.map(({ options: { id, region, slots } }) => ({ id, region, slots }))
  const hosts = deployment.regions.flatMap((region) => Array.from({ length: deployment.hostsPerRegion }, () => ({ region, way: makeWay(known, region) })))
  const result: RunResult = { asked: 0, inTime: 0, late: 0, refused: 0, failed: 0, value: 0 }
  const keys = new Map(deployment.regions.map((region) => [region, Array.from({ length: deployment.keysPerRegion }, () => Math.floor(random() * HASH_RANGE))]))

  const countAnswer = (request: ModelRequest): void => {
    const elapsedMs = events.now - request.arrivedAt
    if (events.now > request.deadline) result.failed += 1
    else if (elapsedMs <= deployment.targetLatencyMs) result.inTime += 1
    else result.late += 1
    if (events.now > request.deadline) return
    result.value += elapsedMs <= deployment.targetLatencyMs ? 1 : deployment.lateValue
  }

  const send = (request: ModelRequest, workMs: number, triesLeft: number): void => {
    const near = hosts.filter((host) => host.region === request.region)
    const { way } = near[Math.floor(chance() * near.length)] as (typeof hosts)[number]
    const sentAt = events.now
    const decision = way.decide(request, sentAt, chance())
    if (decision.kind === 'refuse') {
      retryLater(request, workMs, triesLeft, decision.retryAfterMs)
      return
    }
    const target = targets.find(({ options }) => options.id === decision.targetId) as ModelTarget
    const tripMs = target.options.region === request.region ? deployment.tripNearMs : deployment.tripFarMs
    events.push(sentAt + tripMs / 2, () => {
      target.accept({
        key: request.key,
        workMs,
        deadline: request.deadline,
        finish: (hasRun) => {
          events.push(events.now + tripMs / 2, () => {
            way.observeEnd(request, decision.targetId, hasRun, events.now - sentAt, events.now)
            if (hasRun) countAnswer(request)
            else retryLater(request, workMs, triesLeft, 0)
          })
        }
      })
    })
  }

  const retryLater = (request: ModelRequest, workMs: number, triesLeft: number, afterMs: number): void => {
    if (triesLeft === 0 || events.now + afterMs >= request.deadline) result.refused += 1
    else events.push(events.now + afterMs, () => { send(request, workMs, triesLeft - 1) })
  }

  scheduleRequests({ pattern, keys, random, events, send: (request, workMs) => { result.asked += 1; send(request, workMs, deployment.retries) } })
  scheduleSlowness(pattern, targets, events, random)
  const endAt = pattern.seconds * MS_PER_SECOND + deployment.deadlineMs
  for (let at = deployment.reportMs; at < endAt; at += deployment.reportMs) {
    events.push(at, () => { for (const { way } of hosts) way.hearPeers(hosts.map((host) => host.way), events.now) })
  }
  events.runUntil(endAt)
  return result
}

const makeTargets = (region: string, count: number, events: EventQueue): ModelTarget[] => {
  const { slots, queue, remembers, warmGain } = deployment
  return Array.from({ length: count }, (_, index) => new ModelTarget({ id: `${region}-${index}`, region, slots, queue, remembers, warmGain }, events))
}

interface ScheduleParts {
  pattern: Pattern
  keys: ReadonlyMap<string, readonly number[]>
  random: () => number
  events: EventQueue
  send: (request: ModelRequest, workMs: number) => void
}

// Arrivals by a Poisson process whose rate follows the pattern; every region has a third of them.
const scheduleRequests = ({ pattern, keys, random, events, send }: ScheduleParts): void => {
  const { regions, deadlineMs, workMs, workSpread } = deployment
  const hotPart = 'hotPart' in pattern ? pattern.hotPart : 0
  let at = 0
  while (at < pattern.seconds * MS_PER_SECOND) {
    const perSecond = pattern.requestsPerSecond * pattern.findRate(at / MS_PER_SECOND)
    at += -Math.log(1 - random()) * MS_PER_SECOND / perSecond
    const region = regions[Math.floor(random() * regions.length)] as string
    const own = keys.get(region) as readonly number[]
    const key = own[random() < hotPart ? 0 : Math.floor(random() * own.length)] as number
    const request = { key, region, arrivedAt: at, deadline: at + deadlineMs }
    const work = workMs * (1 + (random() * 2 - 1) * workSpread)
    events.push(at, () => { send(request, work) })
  }
}

const scheduleSlowness = (pattern: Pattern, targets: readonly ModelTarget[], events: EventQueue, random: () => number): void => {
  if (!('slow' in pattern)) return
  const { part, slowness, from, to } = pattern.slow
  const hit = targets.filter(() => random() < part)
  events.push(from * MS_PER_SECOND, () => { for (const target of hit) target.slowness = slowness })
  events.push(to * MS_PER_SECOND, () => { for (const target of hit) target.slowness = 1 })
}
