import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeContext } from '../__fixtures__/makeContext.js'
import { makeTarget } from '../__fixtures__/makeTarget.js'
import { chooseTarget } from '../chooseTarget.js'
import type { TargetState } from '../targetState.js'

const test = suite('chooseTarget')
const listNear = () => [0, 1, 2, 3].map((index) => makeTarget({ id: `near-${index}` }))
const listKeys = () => Array.from({ length: 400 }, (_, index) => Math.imul(index + 1, 0x9e3779b1) >>> 0)

test('a key keeps its target, and only the keys of a target that left move', () => {
  const targets = listNear()
  const before = listKeys().map((keyHash) => chooseTarget(targets, makeContext({ keyHash }))?.target)
  const [gone] = targets
  const after = listKeys().map((keyHash) => chooseTarget(targets.slice(1), makeContext({ keyHash }))?.target)
  for (const [index, target] of before.entries()) {
    if (target !== gone) assert.is(after[index], target)
  }
})

test('a short queue at the target that holds the object is better than work on it anew', () => {
  const targets = listNear()
  const first = chooseTarget(targets, makeContext())
  if (first === undefined) throw new Error('no target')
  first.target.inFlight = 5
  assert.is(chooseTarget(targets, makeContext())?.target, first.target)
  first.target.inFlight = 40
  assert.is.not(chooseTarget(targets, makeContext())?.target, first.target)
})

// A hot region: every target of it is full, another one 40 ms away is idle. Callers see their answers
// late though there is room. The choice must compare the wait here with the trip there.
test('a full region is left for one with room, where that is allowed', () => {
  const near = listNear()
  for (const target of near) target.inFlight = 40
  const far = makeTarget({ id: 'far', region: 'wlg' })
  assert.is(chooseTarget([...near, far], makeContext())?.target, far)
  assert.is(chooseTarget([...near, far], makeContext({ allowAway: false }))?.target.entry.region, 'akl')
})

// A zone was lost in a burst, and every target left is busy. A key that leaves a long queue at its own target is worked on anew
// at another one, three times as long, and lengthens all queues there; a hot key beside idle targets takes nobody's slots.
test('a key stays in its queue while all targets are busy, and leaves the same queue for an idle one', () => {
  const targets = listNear()
  const first = chooseTarget(targets, makeContext())?.target
  for (const target of targets) target.inFlight = target === first ? 22 : 4
  assert.is(chooseTarget(targets, makeContext())?.target, first)
  for (const target of targets) if (target !== first) target.inFlight = 0
  assert.is.not(chooseTarget(targets, makeContext())?.target, first)
})

// A service is full and nothing is held yet. Going to any idle target, each request works on its object anew, takes
// the slots that would bring the others home, and the service stays full.
test('a key whose targets are both full goes to no third one', () => {
  const targets = listNear()
  const first = chooseTarget(targets, makeContext())
  const second = chooseTarget(targets.filter((target) => target !== first?.target), makeContext())
  for (const choice of [first, second]) if (choice !== undefined) choice.target.inFlight = 30
  assert.is(chooseTarget(targets, makeContext())?.outstanding, 30)
})

test('a region whose targets are all gone is left without asking', () => {
  const far = makeTarget({ id: 'far', region: 'wlg' })
  assert.is(chooseTarget([far], makeContext({ allowAway: false }))?.target, far)
})

test('a target that drains or has departed gets nothing', () => {
  const draining = makeTarget({ draining: true })
  const departed = makeTarget({ id: 'departed' })
  departed.markDeparted(0)
  assert.is(chooseTarget([draining, departed], makeContext()), undefined)
})

test('a cold target gets nothing but within its allowance', () => {
  const cold = makeTarget({ coldForMs: 3_000 })
  assert.is(chooseTarget([cold], makeContext()), undefined)
  assert.is(chooseTarget([cold], makeContext({ allowCold: () => true }))?.target, cold)
  assert.is(chooseTarget([cold], makeContext({ now: 3_000 }))?.target, cold)
})

// One target turns five times slower: its callers wait while others are idle, for as long as its keys stay.
/** The targets with one of them just after it was cold. */
const listWithStarting = (): { targets: TargetState[], starting: TargetState } => {
  const starting = makeTarget({ id: 'starting', coldForMs: 1 })
  return { targets: [...listNear(), starting], starting }
}
const listOwnKeys = (): number[] => {
  const { targets, starting } = listWithStarting()
  return listKeys().filter((keyHash) => chooseTarget(targets, makeContext({ keyHash, now: 60_000 }))?.target.entry.id === starting.entry.id)
}

// A third of a service's targets is added. Each is the first of some keys, all of whose requests went there in the same
// second: with work of three seconds on an object that isn't held, four or five of them at once, which ended by their time limit,
// while the target that held the object stood idle.
test('a key stays with the target that holds its object while its own one is warming up', () => {
  const keys = listOwnKeys()
  assert.ok(keys.length > 40)
  for (const keyHash of keys) {
    const { targets, starting } = listWithStarting()
    const context = makeContext({ keyHash, now: 10, warmMs: 770, coldMs: 3_000, meanMs: 900, targetLatencyMs: 1_500 })
    const choice = chooseTarget(targets, context)
    assert.is.not(choice?.target, starting)
    assert.is(choice?.workMs, 770, 'the target before holds it')
    assert.is(chooseTarget(targets, { ...context, warmsUp: true })?.target, starting, 'some requests warm it up')
  }
})

// Warming a target up must not cost an answer: a request that goes there and finds a queue is refused, while the target that
// holds its object is idle.
test('no request warms up a target that has a queue', () => {
  for (const keyHash of listOwnKeys()) {
    const { targets, starting } = listWithStarting()
    starting.inFlight = 30
    assert.is.not(chooseTarget(targets, makeContext({ keyHash, now: 10, warmsUp: true }))?.target, starting)
  }
})

test('a target that is warming up takes its keys where the one that holds them is full', () => {
  const [keyHash] = listOwnKeys()
  const { targets, starting } = listWithStarting()
  for (const target of targets) if (target !== starting) target.inFlight = 40
  assert.is(chooseTarget(targets, makeContext({ keyHash: keyHash as number, now: 10 }))?.target, starting)
})

test('keys of other targets never go to one that is warming up', () => {
  const own = new Set(listOwnKeys())
  const { targets, starting } = listWithStarting()
  for (const keyHash of listKeys().filter((each) => !own.has(each))) {
    assert.is.not(chooseTarget(targets, makeContext({ keyHash, now: 10, warmsUp: true }))?.target, starting)
  }
})

test('targets that are all warming up serve their keys as ever', () => {
  const targets = [0, 1, 2].map((index) => makeTarget({ id: `starting-${index}`, coldForMs: 1 }))
  const settled = listKeys().map((keyHash) => chooseTarget(targets, makeContext({ keyHash, now: 60_000 }))?.target)
  assert.equal(listKeys().map((keyHash) => chooseTarget(targets, makeContext({ keyHash, now: 10 }))?.target), settled)
})

test('a target that has become slow loses its keys within some answers, and is tried again later', () => {
  const targets = listNear()
  const first = chooseTarget(targets, makeContext())
  if (first === undefined) throw new Error('no target')
  for (let answer = 0; answer < 15; answer += 1) first.target.observeAnswer(5, 0)
  assert.is.not(chooseTarget(targets, makeContext())?.target, first.target)
  assert.is(chooseTarget(targets, makeContext({ now: 20_000 }))?.target, first.target)
})

test('a target that refuses half of its requests loses its keys', () => {
  const targets = listNear()
  const first = chooseTarget(targets, makeContext())
  if (first === undefined) throw new Error('no target')
  for (let answer = 0; answer < 10; answer += 1) {
    first.target.observeFailure(0)
    first.target.observeAnswer(1, 0)
  }
  assert.is.not(chooseTarget(targets, makeContext())?.target, first.target)
})

test.run()
