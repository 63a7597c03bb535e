// Measures the cost of one admission decision plus target choice by number of targets and callers, and the memory
// used by a queued request and by a known caller. Uses the compiled code in dist; the memory figures need --expose-gc.
import { AdmissionQueue, createSeededRandom, TargetChooser } from '../dist/index.js'

const ROUNDS = 200_000
const WARM_UP_ROUNDS = 20_000
const SERVICE_MS = 20
const SLOTS = 6
const NO_EXCLUDED_TARGETS = new Set()

/**
 * Measures rounds in virtual time. In each round a request arrives and is started or queued, another request ends, and the
 * next one is taken from the queue.
 */
function measureRound (targetCount, callerCount) {
  const random = createSeededRandom(7)
  const queue = new AdmissionQueue({ maxQueued: 100_000, maxWaitMs: 60_000 }, random)
  const chooser = new TargetChooser()
  const names = Array.from({ length: targetCount }, (_, index) => `t${index}`)
  chooser.adoptTargets(names.map((name) => ({ name, slots: SLOTS, address: '127.0.0.1:1', availabilityZone: 'z', connections: 360 })), 0)
  const free = new Map(names.map((name) => [name, SLOTS]))
  const running = []
  const gapMs = SERVICE_MS / (targetCount * SLOTS)
  let now = 0
  const startRequest = (request, target) => {
    chooser.start(target, now, queue.findCost(request.route))
    free.set(target, free.get(target) - 1)
    running.push({ request, target, startedAt: now })
  }
  const runRound = (index) => {
    now += gapMs
    const request = { id: `r${index}`, caller: `c${Math.floor(random() * callerCount)}`, key: '', route: 'GET /x', deadlineAt: now + 100_000, arrivedAt: now }
    const choice = chooser.choose(free, NO_EXCLUDED_TARGETS, now, random)
    const decision = queue.offer(request, choice === undefined ? 0 : 1, chooser.capacity, now)
    if (decision.kind === 'start') startRequest(request, choice.target)
    if (running.length < targetCount * SLOTS * 0.95) return
    const ended = running.shift()
    const latencyMs = now - ended.startedAt
    free.set(ended.target, free.get(ended.target) + 1)
    chooser.finish(ended.target, { latencyMs, ok: true }, now)
    queue.finish(ended.request, latencyMs, now)
    const next = chooser.choose(free, NO_EXCLUDED_TARGETS, now, random)
    if (next === undefined) return
    const batch = queue.take(1, chooser.capacity, now)
    for (const started of batch.start) startRequest(started, next.target)
  }
  for (let index = 0; index < WARM_UP_ROUNDS; index += 1) runRound(index)
  const startedAtNs = process.hrtime.bigint()
  for (let index = 0; index < ROUNDS; index += 1) runRound(WARM_UP_ROUNDS + index)
  const microseconds = Number(process.hrtime.bigint() - startedAtNs) / 1_000 / ROUNDS
  return { targets: targetCount, callers: callerCount, microseconds: Number(microseconds.toFixed(2)), waiting: queue.waiting, knownCallers: queue.describe().knownCallers }
}

function measureMemory (requests, callers) {
  const queue = new AdmissionQueue({ maxQueued: requests + 1, maxWaitMs: 1e9 }, createSeededRandom(1))
  globalThis.gc()
  const before = process.memoryUsage().heapUsed
  for (let index = 0; index < requests; index += 1) {
    queue.offer({ id: `r${index}`, caller: `c${index % callers}`, key: '', route: 'GET /x', deadlineAt: 1e9, arrivedAt: 0 }, 0, 96, 0)
  }
  globalThis.gc()
  const bytes = process.memoryUsage().heapUsed - before
  return { waiting: queue.waiting, callers, bytesPerRequest: Math.round(bytes / queue.waiting) }
}

for (const targets of [4, 16, 64, 256, 1_024]) {
  for (const callers of [10, 100, 1_000, 10_000]) console.log(JSON.stringify(measureRound(targets, callers)))
}
if (globalThis.gc) {
  console.log(JSON.stringify(measureMemory(10_000, 10)))
  console.log(JSON.stringify(measureMemory(10_000, 10_000)))
}
