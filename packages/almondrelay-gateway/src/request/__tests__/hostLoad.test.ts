import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createSeededRandom } from 'almondrelay'
import { HostLoad } from '../hostLoad.js'

const test = suite('HostLoad')
const SEED = 7
/** Interval of the host's timer, and processor time that a request takes, in milliseconds. */
const TICK_MS = 50
const WORK_MS = 2
/** Processor time of a refusal, in milliseconds: a fifth of that of a request. */
const REFUSAL_MS = 0.4

interface Simulated { answeredInTime: number, arrived: number, longestWaitMs: number }

/** Simulates a host with one processor in virtual time: callers leave after `patienceMs`, and unread requests are read all the same. */
const simulateHost = (requestsPerSecond: number, seconds: number, load: HostLoad | undefined, patienceMs = 1_000): Simulated => {
  const random = createSeededRandom(SEED)
  let freeAt = 0
  let tickAt = TICK_MS
  const result: Simulated = { answeredInTime: 0, arrived: 0, longestWaitMs: 0 }
  for (let at = 0; at < seconds * 1_000; at += 1_000 / requestsPerSecond) {
    while (tickAt <= at) {
      load?.observeDelay(Math.max(0, freeAt - tickAt))
      tickAt += TICK_MS
    }
    result.arrived += 1
    const isAllowed = load === undefined || load.allow(0.5, random())
    freeAt = Math.max(freeAt, at) + (isAllowed ? WORK_MS : REFUSAL_MS)
    if (!isAllowed) continue
    result.longestWaitMs = Math.max(result.longestWaitMs, freeAt - at)
    if (freeAt - at <= patienceMs) result.answeredInTime += 1
  }
  return result
}

// One host of ten is left and gets twice the requests that its processor can handle. Requests wait unread for longer and longer;
// after some seconds each caller has left before its request is read, and all of the host's work is wasted.
test('a host with twice the requests that it can handle still answers most of what it can handle', () => {
  const plain = simulateHost(1_000, 20, undefined)
  const shedding = simulateHost(1_000, 20, new HostLoad())
  assert.ok(plain.answeredInTime < plain.arrived * 0.15, `plain ${plain.answeredInTime} of ${plain.arrived}`)
  assert.ok(shedding.answeredInTime > shedding.arrived * 0.3, `shedding ${shedding.answeredInTime} of ${shedding.arrived}`)
  assert.ok(shedding.longestWaitMs < 500, `longest wait ${shedding.longestWaitMs} ms`)
})

test('a host with room sheds nothing', () => {
  const result = simulateHost(400, 20, new HostLoad())
  assert.is(result.answeredInTime, result.arrived)
})

// A host was suspended for three seconds and continues. Requests that it went on refusing long after that could have been served.
test('after one long delay a host admits all requests again within a second', () => {
  const load = new HostLoad()
  assert.ok(load.observeDelay(3_000))
  assert.ok(load.isShedding)
  let ticks = 0
  while (load.isShedding && ticks < 100) {
    load.observeDelay(0)
    ticks += 1
  }
  assert.ok(ticks * TICK_MS <= 1_000, `${ticks} ticks`)
})

test('less urgent requests are shed more, and none are shut out', () => {
  const load = new HostLoad()
  load.observeDelay(1_500)
  const random = createSeededRandom(SEED)
  const count = (patience: number): number => Array.from({ length: 10_000 }, () => load.allow(patience, random())).filter(Boolean).length
  const [urgent, patient] = [count(0), count(1)]
  assert.ok(urgent > patient)
  assert.ok(patient > urgent / 4, `${patient} of ${urgent}`)
})

test('a shed caller gets a retry time that grows with the delay', () => {
  const load = new HostLoad()
  assert.is(load.computeRetryAfter(0), 200)
  load.observeDelay(400)
  assert.is(load.computeRetryAfter(0.5), 1_200)
  load.observeDelay(5_000)
  assert.is(load.computeRetryAfter(0), 1_000)
})

test.run()
