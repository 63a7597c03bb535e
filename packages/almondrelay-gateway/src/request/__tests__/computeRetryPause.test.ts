import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeRetryPause } from '../computeRetryPause.js'

const test = suite('computeRetryPause')
const bounds = { firstMs: 200, longestMs: 500 }

test('a pause doubles with each failure up to the longest', () => {
  assert.equal([1, 2, 3, 40].map((failures) => computeRetryPause(bounds, failures, 0.5)), [200, 400, 500, 500])
})

// The store is away for ten seconds. With pauses all alike once they are longest, every host of the fleet calls in the same
// moment twice a second, and again when the store returns.
test('pauses are spread by chance at the longest too', () => {
  assert.equal([0, 1].map((chance) => computeRetryPause(bounds, 40, chance)), [250, 750])
})

test.run()
