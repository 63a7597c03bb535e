import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeContext } from '../__fixtures__/makeContext.js'
import { makeTarget } from '../__fixtures__/makeTarget.js'
import { UnevenTargets } from '../__fixtures__/unevenTargets.js'
import type { UnevenTargetsOptions } from '../__fixtures__/unevenTargetsOptions.js'
import { chooseTarget } from '../chooseTarget.js'
import { SecondPlaces } from '../secondPlaces.js'

const test = suite('chooseTarget with stated speeds')
const OPTIONS = { hosts: 25, targets: 74, objects: 407, memory: 23, perSecond: 800, seconds: 16, seed: 1, statesSpeed: true, exchanges: true }
const simulate = (options: Partial<UnevenTargetsOptions>): number => {
  const seeds = [1, 2]
  return seeds.reduce((sum, seed) => sum + new UnevenTargets({ ...OPTIONS, ...options, seed }).simulate() / seeds.length, 0)
}

// 15 of 100 targets are 2.5 times as slow, others every 0.6 s. Hosts that learn it from their own times learn it too late: at 800 requests
// a second 73% are on time.
test('at twice the usual demand more requests are on time with stated speeds, and more again where hosts exchange them', () => {
  const [without, own, all] = [simulate({ statesSpeed: false }), simulate({ exchanges: false }), simulate({})]
  assert.ok(own > without + 0.01, `${own} with own statements, ${without} without any`)
  assert.ok(all > own, `${all} with those of all hosts`)
  assert.ok(all > without + 0.04, `${all} with those of all hosts, ${without} without any`)
})

// Guards against a second place for each key where targets remember only as many objects as there are.
test('where targets remember few objects, stated speeds cost little', () => {
  const options = { perSecond: 360, memory: 6 }
  const [without, stated] = [simulate({ ...options, statesSpeed: false }), simulate(options)]
  assert.ok(stated > without - 0.015, `${stated} with statements, ${without} without`)
})

// A quarter of the targets state the opposite of their speed, or always that they are fast.
test('targets that state a wrong speed cost little', () => {
  const without = simulate({ statesSpeed: false })
  for (const lie of [(percent: number) => percent > 100 ? 100 : 250, () => 20, () => 10_000]) {
    const wrong = simulate({ stateSpeed: (percent, target) => target % 4 === 0 ? lie(percent) : percent })
    assert.ok(wrong > without - 0.01, `${wrong} with wrong statements, ${without} without any`)
  }
})

// Counts of the model with the choice as it was before targets stated speeds (commit 5943e54).
test('where no speed is stated every decision is as before', () => {
  const model = new UnevenTargets({ ...OPTIONS, statesSpeed: false })
  model.simulate()
  assert.equal(model.counts, { requests: 10_054, onTime: 6_911, refused: 1_856, cold: 32, second: 63, slow: 900 })
})

test('without statements, what is known of second targets changes no choice', () => {
  const targets = Array.from({ length: 12 }, (_, index) => makeTarget({ id: `target-${index}`, region: index % 3 === 0 ? 'wlg' : 'akl' }))
  const places = new SecondPlaces()
  for (let keyHash = 1; keyHash < 2_000; keyHash += 1) {
    const target = targets[keyHash % 12]
    if (target !== undefined) target.inFlight = keyHash % 17
    const context = makeContext({ keyHash: Math.imul(keyHash, 0x9e3779b1) >>> 0, isWarmUpRequest: keyHash % 2 === 0, canSpill: keyHash % 5 === 0 })
    assert.equal(chooseTarget(targets, { ...context, places }), chooseTarget(targets, context))
  }
})

// Guards against a slow target that keeps its keys although their second target has the object, and against keys that leave a slow target
// for one that has to work on the object from scratch.
test('a key leaves a target that states that it is slow only for one that probably has its object', () => {
  const targets = [0, 1, 2, 3].map((index) => makeTarget({ id: `near-${index}` }))
  const context = makeContext({ places: new SecondPlaces() })
  const preferred = chooseTarget(targets, context)?.target
  for (const target of targets) target.receiveStatement({ running: 0, waiting: 0, speedPercent: target === preferred ? 250 : 100 }, 0)
  context.places?.observeWork({ rank: 0, waitMs: 0, usualMs: 100, warmMs: 100, coldMs: 300 }, 0)
  assert.is.not(chooseTarget(targets, context)?.target, preferred)
  assert.is(chooseTarget(targets, { ...context, ignoresStatements: true })?.target, preferred)
  for (let count = 0; count < 40; count += 1) context.places?.observeWork({ rank: 1, waitMs: 0, usualMs: 300, warmMs: 100, coldMs: 300 }, 0)
  assert.is(chooseTarget(targets, context)?.target, preferred)
})

test.run()
