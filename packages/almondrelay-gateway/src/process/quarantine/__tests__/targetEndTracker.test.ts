import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { TargetEndTracker } from '../targetEndTracker.js'

const test = suite('TargetEndTracker')
const makeName = (fingerprint: string): { fingerprint: string, organisation: string } => ({ fingerprint, organisation: '' })
let seen: string[] = []
let tracker = new TargetEndTracker(() => undefined)
let target = makeTarget()

test.before.each(() => {
  seen = []
  tracker = new TargetEndTracker((_target, { fingerprint }) => { seen.push(fingerprint) })
  target = makeTarget()
})

// Guards against requests that are held back because connections were reset or answers lost while their targets lived on.
test('a lost answer alone is no end of a target', () => {
  tracker.observeUnanswered(target, makeName('a'), 0)
  assert.equal(seen, [])
})

test('an end names the requests whose answers were lost with it, each once', () => {
  tracker.observeUnanswered(target, makeName('a'), 0)
  tracker.observeUnanswered(target, makeName('a'), 5)
  tracker.observeUnanswered(target, makeName('b'), 10)
  tracker.observeEnd(target, 20)
  tracker.observeEnd(target, 30)
  assert.equal(seen, ['a', 'b'])
})

test('an answer that is seen to be lost after the end counts too, one lost long before does not', () => {
  tracker.observeUnanswered(target, makeName('early'), 0)
  tracker.observeEnd(target, 5_000)
  tracker.observeUnanswered(target, makeName('late'), 5_100)
  assert.equal(seen, ['late'])
})

// Guards against an object of many callers that collects ends although each time another target answered at once.
test('a request that another target answered before the end was seen is not named', () => {
  tracker.observeUnanswered(target, makeName('a'), 0)
  tracker.dropUnanswered(target, 'a')
  tracker.observeEnd(target, 10)
  assert.equal(seen, [])
})

test('another life of the target is another target', () => {
  tracker.observeUnanswered(target, makeName('a'), 0)
  tracker.observeEnd(makeTarget(), 10)
  assert.equal(seen, [])
})

test.run()
