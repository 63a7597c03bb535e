import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makePosition } from '../../store/__fixtures__/makePosition.js'
import { Suspect } from '../suspect.js'
import type { SuspectState } from '../suspectState.js'

const test = suite('Suspect')
const makeSuspect = (ended: number[] = [], cleared: number[] = []): Suspect => {
  const suspect = new Suspect('f', 'school')
  suspect.merge({ ended, cleared }, 0)
  return suspect
}
const incarnations = fc.uniqueArray(fc.integer({ min: 0, max: 9 }), { maxLength: 8 })
const state = fc.record({ fingerprint: fc.constant('f'), organisation: fc.constant('school'), ended: incarnations, cleared: incarnations })

test('three exits quarantine a request, one exit reported twice does not', () => {
  const suspect = makeSuspect([1, 2])
  assert.not(suspect.merge({ ended: [2], cleared: [] }, 0))
  assert.not(suspect.isQuarantined)
  assert.ok(suspect.merge({ ended: [3], cleared: [] }, 0))
  assert.ok(suspect.isQuarantined)
})

// Guards against hosts that disagree permanently because datagrams arrived late, twice or in another order.
test('reports in any order and number lead every host to the same state', () => {
  fc.assert(fc.property(fc.array(state, { maxLength: 6 }), fc.func(fc.integer()), (states, order) => {
    const shuffled = [...states, ...states].sort((one, other) => order(one) - order(other))
    const [first, second] = [states, shuffled].map((list: readonly SuspectState[]) => {
      const suspect = makeSuspect()
      for (const each of list) suspect.merge(each, 0)
      const { ended, cleared } = suspect.describe()
      return [[...ended].sort(), [...cleared].sort(), suspect.isQuarantined]
    })
    assert.equal(first, second)
  }), { seed: 1 })
})

// Guards against requests for a popular object that stay refused after a third of all targets exited for another reason.
test('an answer clears earlier exits, and a late report does not restore them', () => {
  const suspect = makeSuspect([1, 2, 3])
  suspect.clear(0)
  assert.not(suspect.isQuarantined)
  suspect.merge({ ended: [1, 2, 3], cleared: [] }, 1)
  assert.is(suspect.countExits(), 0)
  suspect.merge({ ended: [4, 5, 6], cleared: [] }, 2)
  assert.ok(suspect.isQuarantined)
})

test('trials come after ever longer delays, which start over after an answer', () => {
  const suspect = makeSuspect([1, 2, 3])
  const pauses = [0, 1, 2, 3].map((trials) => {
    suspect.setTrials(trials, 0)
    return suspect.trialAt
  })
  assert.ok(pauses.every((pause, index) => index === 0 || pause > (pauses[index - 1] as number)))
  suspect.clear(0)
  suspect.merge({ ended: [4, 5, 6], cleared: [] }, 0)
  assert.is(suspect.trialAt, pauses[0])
})

test('a record sets the number of trials, an older one changes nothing', () => {
  const suspect = makeSuspect([1, 2, 3])
  suspect.adoptRecord({ ...suspect.describe(), trials: 2 }, makePosition(7), 0)
  suspect.adoptRecord({ ...suspect.describe(), trials: 0 }, makePosition(6), 0)
  assert.is(suspect.trials, 2)
})

// Guards against a trial that is granted twice, because the record of the copy does not count the one granted since.
test('the first record after the return of the store from a copy does not lower the number of trials', () => {
  const suspect = makeSuspect([1, 2, 3])
  const record = { ...suspect.describe(), trials: 2 }
  suspect.adoptRecord(record, makePosition(7), 0)
  suspect.adoptRecord({ ...record, trials: 1 }, { era: 2, revision: 3 }, 0)
  assert.is(suspect.trials, 2)
  assert.not(suspect.isStoredIn(2))
  suspect.adoptRecord(record, { era: 2, revision: 4 }, 0)
  assert.ok(suspect.isStoredIn(2))
  assert.not(suspect.isStoredIn(3))
})

// Guards against one request filling the memory of all hosts with the target exits that it caused.
test('the number of kept incarnations is bounded, and the request stays quarantined', () => {
  const suspect = makeSuspect()
  for (let incarnation = 0; incarnation < 1_000; incarnation += 1) {
    suspect.merge({ ended: [incarnation], cleared: [] }, 0)
    if (incarnation === 50) suspect.clear(0)
  }
  assert.ok(suspect.describe().ended.length <= 24)
  assert.ok(suspect.isQuarantined)
})

test.run()
