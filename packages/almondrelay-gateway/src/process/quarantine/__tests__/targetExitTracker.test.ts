import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { TargetExitTracker } from '../targetExitTracker.js'

const test = suite('TargetEndTracker')
const makeSuspectId = (fingerprint: string): { fingerprint: string, organisation: string } => ({ fingerprint, organisation: '' })
let seen: string[] = []
let tracker = new TargetExitTracker(() => undefined)
let target = makeTarget()

test.before.each(() => {
  seen = []
  tracker = new TargetExitTracker((_target, { fingerprint }) => { seen.push(fingerprint) })
  target = makeTarget()
})

// Guards against quarantining requests because connections were reset or answers lost while the targets kept running.
test('a lost answer alone is not an exit of the target', () => {
  tracker.observeUnanswered(target, makeSuspectId('a'), 0)
  assert.equal(seen, [])
})

test('an exit is recorded for each request whose answer was lost with it, once', () => {
  tracker.observeUnanswered(target, makeSuspectId('a'), 0)
  tracker.observeUnanswered(target, makeSuspectId('a'), 5)
  tracker.observeUnanswered(target, makeSuspectId('b'), 10)
  tracker.observeExit(target, 20)
  tracker.observeExit(target, 30)
  assert.equal(seen, ['a', 'b'])
})

test('an answer found lost after the exit counts too, one lost long before does not', () => {
  tracker.observeUnanswered(target, makeSuspectId('early'), 0)
  tracker.observeExit(target, 5_000)
  tracker.observeUnanswered(target, makeSuspectId('late'), 5_100)
  assert.equal(seen, ['late'])
})

// Guards against counting exits for a popular object although another target answered at once each time.
test('no exit is recorded for a request that another target answered before the exit was observed', () => {
  tracker.observeUnanswered(target, makeSuspectId('a'), 0)
  tracker.dropUnanswered(target, 'a')
  tracker.observeExit(target, 10)
  assert.equal(seen, [])
})

test('another incarnation of the target counts as another target', () => {
  tracker.observeUnanswered(target, makeSuspectId('a'), 0)
  tracker.observeExit(makeTarget(), 10)
  assert.equal(seen, [])
})

test.run()
