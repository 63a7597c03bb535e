import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ServiceTimes } from '../serviceTimes.js'

const test = suite('ServiceTimes')
const LATENCY_MS = 1_500
const WARM_MS = 770
const COLD_MS = 2_900

const isNear = (value: number, expected: number): boolean => Math.abs(value - expected) < expected * 0.1

// Each of 195 hosts sees an object once in several minutes. If a host went only by its own requests, every answer would count as
// one about an uncached object: the estimate would be a mean of two different times, and the planned load of the regions an
// eighth of the true one.
test('a host that requests each object only once distinguishes work on cached and on uncached objects', () => {
  const times = new ServiceTimes()
  for (let answer = 0; answer < 60; answer += 1) times.observeAnswer(answer % 5 === 0 ? COLD_MS : WARM_MS, false, LATENCY_MS)
  assert.ok(isNear(times.getWarmMs(LATENCY_MS), WARM_MS), `${times.getWarmMs(LATENCY_MS)}`)
  assert.ok(isNear(times.getColdMs(LATENCY_MS), COLD_MS), `${times.getColdMs(LATENCY_MS)}`)
})

// A service is much faster than its latency target of 250 ms: 36 ms for a cached object, 144 ms for another. Answers about
// objects that are known to be cached correct the initial guess.
test('answers about objects known to be cached correct a wrong initial guess', () => {
  const times = new ServiceTimes()
  for (let answer = 0; answer < 100; answer += 1) {
    const isHeld = answer % 3 !== 0
    times.observeAnswer(isHeld ? 36 : 144, isHeld, 250)
  }
  assert.ok(times.getWarmMs(250) < 60, `${times.getWarmMs(250)}`)
  assert.ok(times.getColdMs(250) > 100, `${times.getColdMs(250)}`)
})

test('the first answer alone does not determine the estimate', () => {
  const times = new ServiceTimes()
  const before = times.getWarmMs(LATENCY_MS)
  times.observeAnswer(20, false, LATENCY_MS)
  assert.ok(times.getWarmMs(LATENCY_MS) > before * 0.8)
})

// Work on an uncached object takes 3,100 ms on average where 3,000 ms are allowed. Only requests that happen to take less are
// answered: by answers alone the work would be estimated at 2,700 ms, and be started again and again although about half of it
// times out.
test('work that was ended by its time limit counts as longer than the limit', () => {
  const times = new ServiceTimes()
  for (let request = 0; request < 40; request += 1) {
    if (request % 2 === 0) times.observeAnswer(2_700, false, LATENCY_MS)
    else times.observeOverrun(3_000, LATENCY_MS)
  }
  assert.ok(times.getColdMs(LATENCY_MS) > 3_000, `${times.getColdMs(LATENCY_MS)}`)
})

test('a time-out too short to say anything about the work is not counted', () => {
  const times = new ServiceTimes()
  for (let request = 0; request < 40; request += 1) times.observeAnswer(COLD_MS, false, LATENCY_MS)
  const before = times.getColdMs(LATENCY_MS)
  times.observeOverrun(500, LATENCY_MS)
  assert.is(times.getColdMs(LATENCY_MS), before)
})

test('a route without answers uses the times of its service, a host without answers those of its region', () => {
  const service = new ServiceTimes()
  service.receiveRegionTimes({ warmMs: WARM_MS, coldMs: COLD_MS })
  const route = new ServiceTimes(service)
  assert.is(route.getWarmMs(LATENCY_MS), WARM_MS)
  assert.is(route.getColdMs(LATENCY_MS), COLD_MS)
  for (let answer = 0; answer < 20; answer += 1) route.observeAnswer(300, true, LATENCY_MS)
  assert.ok(isNear(route.getWarmMs(LATENCY_MS), 300))
  assert.is(service.getWarmMs(LATENCY_MS), WARM_MS)
})

test.run()
