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

// Guards against quarantining requests because connections were reset or answers lost while the targets kept running.
test('a lost answer alone is not an exit of the target', () => {
  tracker.observeUnanswered(target, makeName('a'), 0)
  assert.equal(seen, [])
})

test('an exit is recorded for each request whose answer was lost with it, once', () => {
  tracker.observeUnanswered(target, makeName('a'), 0)
  tracker.observeUnanswered(target, makeName('a'), 5)
  tracker.observeUnanswered(target, makeName('b'), 10)
  tracker.observeEnd(target, 20)
  tracker.observeEnd(target, 30)
  assert.equal(seen, ['a', 'b'])
})

test('an answer found lost after the exit counts too, one lost long before does not', () => {
  tracker.observeUnanswered(target, makeName('early'), 0)
  tracker.observeEnd(target, 5_000)
  tracker.observeUnanswered(target, makeName('late'), 5_100)
  assert.equal(seen, ['late'])
})

// Guards against counting exits for a popular object although another target answered at once each time.
test('no exit is recorded for a request that another target answered before the exit was observed', () => {
  tracker.observeUnanswered(target, makeName('a'), 0)
  tracker.dropUnanswered(target, 'a')
  tracker.observeEnd(target, 10)
  assert.equal(seen, [])
})

test('another incarnation of the target counts as another target', () => {
  tracker.observeUnanswered(target, makeName('a'), 0)
  tracker.observeEnd(makeTarget(), 10)
  assert.equal(seen, [])
})

test.run()
