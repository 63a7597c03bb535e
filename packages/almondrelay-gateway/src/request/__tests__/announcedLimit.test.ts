import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AnnouncedLimit } from '../announcedLimit.js'

const test = suite('AnnouncedLimit')

test('a lower limit is in force at once, a higher one or none only after four seconds of answers that state it', () => {
  const limit = new AnnouncedLimit()
  assert.ok(limit.observe(6, 0, 10))
  assert.ok(limit.observe(3, 20, 30))
  assert.not(limit.observe(9, 1_000, 1_010))
  assert.not(limit.observe(8, 2_000, 2_010))
  assert.is(limit.perSecond, 3)
  assert.ok(limit.observe(9, 5_000, 5_010))
  assert.is(limit.perSecond, 8)
  assert.not(limit.observe(Infinity, 6_000, 6_010))
  assert.ok(limit.observe(Infinity, 10_100, 10_110))
  assert.is(limit.perSecond, Infinity)
})

// Guards against a target that is never sent a request again and so can never lift its limit.
test('a limit of zero still lets a request through now and then', () => {
  const limit = new AnnouncedLimit()
  limit.observe(0, 0, 10)
  assert.ok(limit.perSecond > 0)
})

test.run()
