import { createSeededRandom } from 'almondrelay'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { TargetFaults } from '../targetFaults.js'
import { TargetSettings } from '../targetSettings.js'
import { TargetState } from '../targetState.js'

const createState = (settings: object): TargetState => {
  return new TargetState(TargetSettings.parse({ name: 'b-1', service: 'balances', slots: 2, ...settings }), createSeededRandom(7))
}

test('service times are lognormal about their mean', () => {
  const state = createState({ serviceTimeMs: 20, sigma: 0.5 })
  const times = Array.from({ length: 20_000 }, () => state.sampleServiceMs(undefined, 0))
  const mean = times.reduce((sum, each) => sum + each, 0) / times.length
  assert.ok(mean > 19.5 && mean < 20.5, `mean ${mean}`)
  assert.ok(Math.max(...times) > 60)
})

test('a cold target warms up over its requests and cools when idle', () => {
  const state = createState({ serviceTimeMs: 10, sigma: 0, coldStart: { factor: 5, requests: 4, idleMs: 1_000 } })
  const times = [0, 1, 2, 3, 4, 5, 2_000].map((now) => state.sampleServiceMs(undefined, now))
  assert.equal(times, [50, 40, 30, 20, 10, 10, 50])
})

test('a lagging report stays as it was', () => {
  const state = createState({ healthLagMs: 100 })
  assert.is(state.readReport(0).load, 0)
  state.begin({ requestId: 'a' }, TargetFaults.parse({}), 1)
  assert.is(state.readReport(99).load, 0)
  assert.is(state.readReport(100).load, 0.5)
})

test('runs that begin while the target is leaving are counted', () => {
  const state = createState({})
  state.begin({ requestId: 'a' }, TargetFaults.parse({}), 0)
  state.setFaults(TargetFaults.parse({ leaving: true }), 100)
  state.begin({ requestId: 'b' }, state.takeFaults(), 350)
  const runs = state.readRuns()
  assert.equal([runs.total, runs.whileLeaving, runs.lastAfterLeavingMs], [2, 1, 250])
})

test.run()
