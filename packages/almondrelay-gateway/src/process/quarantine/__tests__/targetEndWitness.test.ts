import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { TargetEndWitness } from '../targetEndWitness.js'

const test = suite('TargetEndWitness')
const makeName = (fingerprint: string): { fingerprint: string, organisation: string } => ({ fingerprint, organisation: '' })
let seen: string[] = []
let witness = new TargetEndWitness(() => undefined)
let target = makeTarget()

test.before.each(() => {
  seen = []
  witness = new TargetEndWitness((_target, { fingerprint }) => { seen.push(fingerprint) })
  target = makeTarget()
})

// Guards against requests that are held back because connections were reset or answers lost while their targets lived on.
test('a lost answer alone is no end of a target', () => {
  witness.observeUnanswered(target, makeName('a'), 0)
  assert.equal(seen, [])
})

test('an end names the requests whose answers were lost with it, each once', () => {
  witness.observeUnanswered(target, makeName('a'), 0)
  witness.observeUnanswered(target, makeName('a'), 5)
  witness.observeUnanswered(target, makeName('b'), 10)
  witness.observeEnd(target, 20)
  witness.observeEnd(target, 30)
  assert.equal(seen, ['a', 'b'])
})

test('an answer that is seen to be lost after the end counts too, one lost long before does not', () => {
  witness.observeUnanswered(target, makeName('early'), 0)
  witness.observeEnd(target, 5_000)
  witness.observeUnanswered(target, makeName('late'), 5_100)
  assert.equal(seen, ['late'])
})

// Guards against an object of many callers that collects ends although each time another target answered at once.
test('a request that another target answered before the end was seen is not named', () => {
  witness.observeUnanswered(target, makeName('a'), 0)
  witness.dropUnanswered(target, 'a')
  witness.observeEnd(target, 10)
  assert.equal(seen, [])
})

test('another life of the target is another target', () => {
  witness.observeUnanswered(target, makeName('a'), 0)
  witness.observeEnd(makeTarget(), 10)
  assert.equal(seen, [])
})

test.run()
