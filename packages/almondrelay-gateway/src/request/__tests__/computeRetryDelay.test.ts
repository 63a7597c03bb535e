import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeRetryDelay } from '../computeRetryDelay.js'

const test = suite('computeRetryDelay')
const bounds = { firstMs: 200, longestMs: 500 }

test('the delay doubles with each failure up to the maximum', () => {
  assert.equal([1, 2, 3, 40].map((failures) => computeRetryDelay(bounds, failures, 0.5)), [200, 400, 500, 500])
})

// The store is unavailable for ten seconds. If all hosts waited equally long once the delay is at its maximum, they would all
// call the store at the same moment twice a second, and again when it returns.
test('the maximum delay is randomised too', () => {
  assert.equal([0, 1].map((chance) => computeRetryDelay(bounds, 40, chance)), [250, 750])
})

test.run()
