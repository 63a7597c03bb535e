import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RetryAllowance } from '../retryAllowance.js'

const test = suite('RetryAllowance')
const BOUND = { ratio: 0.2, extra: 60, windowMs: 10_000 }
const SEED = 20_261_202

// A service fails, and every host retries every request. Without a common bound the service would get twice its load just when it
// can't take it. A host may count one host less than there are.
test('all hosts together stay within the bound in every window', () => {
  const step = fc.record({ host: fc.integer({ min: 0, max: 4 }), gapMs: fc.integer({ min: 0, max: 400 }) })
  fc.assert(fc.property(fc.array(step, { minLength: 50, maxLength: 400 }), (steps) => {
    const hosts = Array.from({ length: 5 }, () => new RetryAllowance(BOUND))
    const requests: number[] = []
    const retries: number[] = []
    let now = 0
    for (const { host, gapMs } of steps) {
      now += gapMs
      const allowance = hosts[host] as RetryAllowance
      allowance.observeRequest(now)
      requests.push(now)
      for (let retry = 0; retry < 3; retry += 1) {
        if (allowance.use(now, 4)) retries.push(now)
      }
    }
    for (const end of retries) {
      const isInWindow = (at: number): boolean => at <= end && at > end - BOUND.windowMs
      const allowed = requests.filter(isInWindow).length * BOUND.ratio + BOUND.extra
      assert.ok(retries.filter(isInWindow).length <= allowed)
    }
  }), { seed: SEED, numRuns: 200 })
})

test('a host that does not know the fleet uses none of the retries for all hosts together', () => {
  const allowance = new RetryAllowance(BOUND)
  allowance.observeRequest(0)
  assert.not(allowance.use(0, undefined))
  assert.ok(allowance.use(0, 10))
})

test('used retries are available again after the window', () => {
  const allowance = new RetryAllowance(BOUND)
  let spent = 0
  while (allowance.use(0, 10)) spent += 1
  assert.is(spent, 4)
  assert.ok(allowance.use(BOUND.windowMs * 1.1, 10))
})

test.run()
