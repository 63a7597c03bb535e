import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { allowBeforeStop } from '../allowBeforeStop.js'

const test = suite('allowBeforeStop')
const long = { now: 1_000, deadline: 13_000, expectedMs: 3_000 }

test('a host that isn\'t being stopped takes on every request', () => {
  assert.ok(allowBeforeStop({ ...long, endsAt: Infinity }))
})

test('a request that is over before the stop is taken on, however long its kind takes', () => {
  assert.ok(allowBeforeStop({ ...long, deadline: 3_500, endsAt: 3_500 }))
})

// Guards against an order that is taken on and cut off by the end of the process.
test('a request that usually takes longer than the time before the stop is not taken on', () => {
  assert.ok(allowBeforeStop({ ...long, endsAt: 4_000 }))
  assert.not(allowBeforeStop({ ...long, endsAt: 3_999 }))
})

test.run()
