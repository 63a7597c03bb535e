import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { OverloadState } from '../overloadState.js'
import type { WorkSums } from '../workSums.js'

const test = suite('OverloadState')
const CAPACITY_MS = 1_000
const STEP_MS = 500

const makeSums = (askedMs: number, turnedAwayPerSecond: number, requestsPerSecond = 100): WorkSums => ({ organisations: new Map([[1, { priority: 0, askedMs, admittedMs: askedMs }]]), routes: new Map(), sentMs: askedMs, requestsPerSecond, turnedAwayPerSecond })
/** Observes the same sums for a time; returns how often the state changed. */
const observeFor = (state: OverloadState, sums: WorkSums, from: number, ms: number): number => {
  let changes = 0
  for (let at = from; at < from + ms; at += STEP_MS) if (state.observe(sums, CAPACITY_MS, at)) changes += 1
  return changes
}

test('overload begins when requests are turned away for a while, and ends when demand has stayed below the capacity', () => {
  const state = new OverloadState()
  assert.is(observeFor(state, makeSums(1_300, 20), 0, 2_000), 1)
  assert.ok(state.isOverloaded)
  assert.is(observeFor(state, makeSums(700, 0), 2_000, 1_500), 0)
  assert.is(observeFor(state, makeSums(700, 0), 3_500, 2_000), 1)
  assert.not.ok(state.isOverloaded)
})

// Guards against a state that changes every second: shares stop the refusals by which overload was noticed, and load comes with pauses.
test('overload lasts while demand is above the capacity although nothing is turned away, and through short pauses', () => {
  const state = new OverloadState()
  observeFor(state, makeSums(1_300, 20), 0, 1_000)
  for (let at = 1_000; at < 20_000; at += 2_500) {
    assert.is(observeFor(state, makeSums(1_200, 0), at, 1_000), 0)
    assert.is(observeFor(state, makeSums(600, 0), at + 1_000, 1_500), 0)
  }
  assert.ok(state.isOverloaded)
})

// Guards against overload from a single refusal: on a quiet service it is a large share of all requests.
test('a few refusals of a quiet service, and one full target among many, begin no overload', () => {
  const state = new OverloadState()
  assert.is(observeFor(state, makeSums(100, 3, 5), 0, 5_000), 0)
  assert.is(observeFor(state, makeSums(900, 3), 5_000, 5_000), 0)
  assert.not.ok(state.isOverloaded)
})

test.run()
