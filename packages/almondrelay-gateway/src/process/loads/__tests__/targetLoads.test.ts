import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeAnswerHead } from '../../../connection/__fixtures__/makeAnswerHead.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetChoice } from '../../../request/targetChoice.js'
import { TargetLoads } from '../targetLoads.js'

const test = suite('TargetLoads')
const LOAD = { running: 1, waiting: 0, slots: 3, speedPercent: 250 }
const makeLoads = () => {
  const target = makeTarget()
  const results: string[] = []
  const loads = new TargetLoads({ fleet: { findIncarnation: (hash) => hash === target.incarnationHash ? target : undefined }, metrics: { observeStatementAge: () => undefined, countStatementChoice: (result) => { results.push(result) } } })
  return { loads, target, results }
}

// The answer of another process at the target's address, and one that the target didn't give, would slow down or speed up the wrong target.
test('only answers of the target itself count as its statements', () => {
  const { loads, target } = makeLoads()
  for (const head of [{ isMisdirected: true }, { isGenuine: false }, { load: undefined }, { load: { ...LOAD, speedPercent: undefined } }]) {
    loads.observeAnswer(target, makeAnswerHead({ load: LOAD, ...head }), 0)
    assert.is(target.findStated(0)?.getSlowness(0), undefined, JSON.stringify(head))
  }
  assert.not(loads.isActive(0))
  loads.observeAnswer(target, makeAnswerHead({ load: LOAD, isGenuine: false, isNotRun: true }), 0)
  assert.is(target.findStated(0)?.getSlowness(0), 2.5)
  assert.ok(loads.isActive(0))
})

test('other hosts are told the newest statement of a target once', () => {
  const { loads, target } = makeLoads()
  loads.observeAnswer(target, makeAnswerHead({ load: LOAD }), 0)
  loads.observeAnswer(target, makeAnswerHead({ load: { ...LOAD, speedPercent: 100 } }), 10)
  assert.equal(loads.takeUnsent().map(({ speedPercent }) => speedPercent), [100])
  assert.is(loads.takeUnsent().length, 0)
  assert.ok(loads.receive({ incarnationHash: target.incarnationHash, running: 1, waiting: 0, speedPercent: 200, statedAt: 20 }, 30))
  assert.is(loads.takeUnsent().length, 0, 'what another host told is not told again')
})

test('a statement of an unknown target or incarnation changes nothing', () => {
  const { loads, target } = makeLoads()
  assert.not(loads.receive({ incarnationHash: target.incarnationHash + 1, running: 1, waiting: 0, speedPercent: 200, statedAt: 20 }, 30))
  assert.not(loads.isActive(30))
})

// Guards against a second choice for each request, also where no target states its speed.
test('choices are compared only while speeds are stated, and one in eight', () => {
  const { loads, target, results } = makeLoads()
  const choice = { target } as TargetChoice
  let compared = 0
  const chooseWithout = (): TargetChoice => {
    compared += 1
    return { ...choice, target: makeTarget({ id: 'other' }) }
  }
  for (let count = 0; count < 80; count += 1) loads.observeChoice(choice, chooseWithout, 0)
  assert.is(compared, 0)
  loads.observeAnswer(target, makeAnswerHead({ load: LOAD }), 0)
  for (let count = 0; count < 80; count += 1) loads.observeChoice(choice, chooseWithout, 0)
  assert.is(compared, 10)
  assert.equal(results, Array.from({ length: 10 }, () => 'changed'))
})

test.run()
