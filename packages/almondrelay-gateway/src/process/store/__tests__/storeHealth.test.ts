import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { StoreHealth } from '../storeHealth.js'

const test = suite('StoreHealth')
const HEARTBEAT_MS = 1_500
const REMOVAL_IN_FORCE_MS = 2_500
const makeHealth = (): StoreHealth => {
  const health = new StoreHealth({ heartbeatMs: HEARTBEAT_MS, removalInForceMs: REMOVAL_IN_FORCE_MS })
  health.observeAnswer(0)
  return health
}

// Guards against targets that are dropped in an outage in which their entries expired.
test('entries may have lapsed after an outage of two heartbeats, until two seconds after it', () => {
  const health = makeHealth()
  for (const at of [1_300, 2_600, 2_950]) health.observeFailure(at)
  assert.ok(health.findLapseEnd(3_000) !== undefined, 'while the outage lasts')
  health.observeAnswer(3_100)
  assert.is(health.findLapseEnd(3_200), 5_100)
  assert.is(health.findLapseEnd(5_100), undefined)
})

// Guards against removals that wait although no entry of a live target can have expired.
test('a call that fails between answers is no outage', () => {
  const health = makeHealth()
  health.observeFailure(1_300)
  health.observeAnswer(2_400)
  assert.is(health.findLapseEnd(2_400), undefined)
})

test('an outage of this host alone, as others report their contact with the store, makes no entry lapse', () => {
  const health = makeHealth()
  for (const at of [1_000, 2_500, 4_000]) {
    health.observeFailure(at)
    health.observeContact(at - 200)
    health.observeContact(at - 900)
  }
  health.observeAnswer(4_500)
  assert.is(health.findLapseEnd(4_500), undefined)
})

// Guards against requests to targets that have left, beyond the bound: a host that notices late that it reaches the store again counts
// from the end of its cut, not from then on.
test('a lapse ends within the bound on removals after the last failed call', () => {
  const health = makeHealth()
  for (const at of [1_000, 4_000]) health.observeFailure(at)
  health.observeAnswer(5_700)
  const end = health.findLapseEnd(5_700)
  assert.ok(end !== undefined && end < 4_000 + REMOVAL_IN_FORCE_MS, `${end}`)
})

test('after a return of the store from a copy entries may be missing whatever the length of the outage', () => {
  const health = makeHealth()
  health.observeAnswer(1_000)
  health.observeReturn(1_000)
  assert.is(health.findLapseEnd(1_500), 3_000)
})

test('the first answer after a failure is reported as recovery', () => {
  const health = makeHealth()
  let recoveries = 0
  health.handleRecovery = () => { recoveries += 1 }
  assert.ok(health.observeFailure(100))
  assert.not(health.observeFailure(200))
  health.observeContact(250)
  assert.ok(health.observeAnswer(300))
  assert.not(health.observeAnswer(400))
  assert.is(recoveries, 1)
})

test.run()
