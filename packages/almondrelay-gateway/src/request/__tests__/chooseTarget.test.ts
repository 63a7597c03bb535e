import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeContext } from '../__fixtures__/makeContext.js'
import { makeTarget } from '../__fixtures__/makeTarget.js'
import { chooseTarget } from '../chooseTarget.js'
import type { TargetState } from '../targetState.js'

const test = suite('chooseTarget')
const listNear = () => [0, 1, 2, 3].map((index) => makeTarget({ id: `near-${index}` }))
const listKeys = () => Array.from({ length: 400 }, (_, index) => Math.imul(index + 1, 0x9e3779b1) >>> 0)

test('a key keeps its target, and only the keys of a target that left move to others', () => {
  const targets = listNear()
  const before = listKeys().map((keyHash) => chooseTarget(targets, makeContext({ keyHash }))?.target)
  const [gone] = targets
  const after = listKeys().map((keyHash) => chooseTarget(targets.slice(1), makeContext({ keyHash }))?.target)
  for (const [index, target] of before.entries()) {
    if (target !== gone) assert.is(after[index], target)
  }
})

test('a short queue at the target that has the object cached is preferred to work on it from scratch', () => {
  const targets = listNear()
  const first = chooseTarget(targets, makeContext())
  if (first === undefined) throw new Error('no target')
  first.target.inFlight = 5
  assert.is(chooseTarget(targets, makeContext())?.target, first.target)
  first.target.inFlight = 40
  assert.is.not(chooseTarget(targets, makeContext())?.target, first.target)
})

// All targets of a region are full while another region, 40 ms away, is idle: callers get late answers although there is room.
// The choice must compare the wait in the region with the round trip to the other one.
test('requests leave a full region for one with room, where that is allowed', () => {
  const near = listNear()
  for (const target of near) target.inFlight = 40
  const far = makeTarget({ id: 'far', region: 'wlg' })
  assert.is(chooseTarget([...near, far], makeContext())?.target, far)
  assert.is(chooseTarget([...near, far], makeContext({ canSpill: false }))?.target.entry.region, 'akl')
})

// A zone was lost in a burst, and all remaining targets are busy. A key that leaves a long queue at its preferred target is
// worked on from scratch at another one, which takes three times as long and lengthens all queues there. A hot key beside idle
// targets takes nobody's slots.
test('a key stays in its queue while all targets are busy, and leaves the same queue for an idle one', () => {
  const targets = listNear()
  const first = chooseTarget(targets, makeContext())?.target
  for (const target of targets) target.inFlight = target === first ? 22 : 4
  assert.is(chooseTarget(targets, makeContext())?.target, first)
  for (const target of targets) if (target !== first) target.inFlight = 0
  assert.is.not(chooseTarget(targets, makeContext())?.target, first)
})

// A service is full and no object is cached yet. If requests went to any idle target, each would work on its object from scratch
// and take the slots that are needed for requests of the target's own keys, and the service would stay full.
test('a key whose two targets are both full goes to no third one', () => {
  const targets = listNear()
  const first = chooseTarget(targets, makeContext())
  const second = chooseTarget(targets.filter((target) => target !== first?.target), makeContext())
  for (const choice of [first, second]) if (choice !== undefined) choice.target.inFlight = 30
  assert.is(chooseTarget(targets, makeContext())?.outstanding, 30)
})

test('a request leaves a region without targets even where leaving is not allowed', () => {
  const far = makeTarget({ id: 'far', region: 'wlg' })
  assert.is(chooseTarget([far], makeContext({ canSpill: false }))?.target, far)
})

test('a target that drains or has departed gets nothing', () => {
  const draining = makeTarget({ draining: true })
  const departed = makeTarget({ id: 'departed' })
  departed.markDeparted(0)
  assert.is(chooseTarget([draining, departed], makeContext()), undefined)
})

test('a cold target gets requests only within its allowance', () => {
  const cold = makeTarget({ coldForMs: 3_000 })
  assert.is(chooseTarget([cold], makeContext()), undefined)
  assert.is(chooseTarget([cold], makeContext({ allowCold: () => true }))?.target, cold)
  assert.is(chooseTarget([cold], makeContext({ now: 3_000 }))?.target, cold)
})

/** Makes the usual targets and one more that was cold until just now. */
const listWithStarting = (): { targets: TargetState[], starting: TargetState } => {
  const starting = makeTarget({ id: 'starting', coldForMs: 1 })
  return { targets: [...listNear(), starting], starting }
}
const listOwnKeys = (): number[] => {
  const { targets, starting } = listWithStarting()
  return listKeys().filter((keyHash) => chooseTarget(targets, makeContext({ keyHash, now: 60_000 }))?.target.entry.id === starting.entry.id)
}

// A third of a service's targets is added, each of them the preferred target of some keys. If all requests of such a key go there
// in the same second, with three seconds of work on an uncached object, four or five of them run there at once and time out,
// while the target that has the object cached is idle.
test('a key stays with the target that has its object cached while its preferred target is warming up', () => {
  const keys = listOwnKeys()
  assert.ok(keys.length > 40)
  for (const keyHash of keys) {
    const { targets, starting } = listWithStarting()
    const context = makeContext({ keyHash, now: 10, warmMs: 770, coldMs: 3_000, meanMs: 900, targetLatencyMs: 1_500 })
    const choice = chooseTarget(targets, context)
    assert.is.not(choice?.target, starting)
    assert.is(choice?.workMs, 770, 'the previous target has it cached')
    assert.is(chooseTarget(targets, { ...context, isWarmUpRequest: true })?.target, starting, 'some requests warm the new target up')
  }
})

// Warming up a target must not cost an answer: a request that is sent there and finds a queue is refused, although the target
// that has its object cached is idle.
test('no request warms up a target that has a queue', () => {
  for (const keyHash of listOwnKeys()) {
    const { targets, starting } = listWithStarting()
    starting.inFlight = 30
    assert.is.not(chooseTarget(targets, makeContext({ keyHash, now: 10, isWarmUpRequest: true }))?.target, starting)
  }
})

test('a target that is warming up gets its keys where the target that has them cached is full', () => {
  const [keyHash] = listOwnKeys()
  const { targets, starting } = listWithStarting()
  for (const target of targets) if (target !== starting) target.inFlight = 40
  assert.is(chooseTarget(targets, makeContext({ keyHash: keyHash as number, now: 10 }))?.target, starting)
})

test('keys that prefer other targets never go to one that is warming up', () => {
  const own = new Set(listOwnKeys())
  const { targets, starting } = listWithStarting()
  for (const keyHash of listKeys().filter((each) => !own.has(each))) {
    assert.is.not(chooseTarget(targets, makeContext({ keyHash, now: 10, isWarmUpRequest: true }))?.target, starting)
  }
})

test('targets that are all warming up serve their keys as usual', () => {
  const targets = [0, 1, 2].map((index) => makeTarget({ id: `starting-${index}`, coldForMs: 1 }))
  const settled = listKeys().map((keyHash) => chooseTarget(targets, makeContext({ keyHash, now: 60_000 }))?.target)
  assert.equal(listKeys().map((keyHash) => chooseTarget(targets, makeContext({ keyHash, now: 10 }))?.target), settled)
})

// One target becomes five times slower: its callers would wait while others are idle, for as long as its keys stay there.
test('a target that has become slow loses its keys after some answers, and is tried again later', () => {
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

// Guards against a whole region's requests that leave it at once because its targets have reached their request limits.
test('requests leave a region whose targets have reached their request limits only as far as spilling is allowed', () => {
  const limited = makeTarget({ id: 'limited', region: 'akl' })
  const remote = makeTarget({ id: 'remote', region: 'wlg' })
  const isLimited = (target: TargetState): boolean => target === limited
  const allowSend = (target: TargetState): boolean => target !== limited
  assert.is(chooseTarget([limited, remote], makeContext({ isLimited, allowSend, canSpill: false })), undefined)
  assert.is(chooseTarget([limited, remote], makeContext({ isLimited, allowSend, canSpill: true }))?.target, remote)
  assert.is(chooseTarget([limited, remote], makeContext({ allowSend, canSpill: false }))?.target, remote)
})

test('a target that has reached its request limit leaves its keys to their next targets, which do not count as preferred', () => {
  const targets = ['a', 'b', 'c'].map((id) => makeTarget({ id }))
  const first = chooseTarget(targets, makeContext({}))?.target
  const choice = chooseTarget(targets, makeContext({ allowSend: (target) => target !== first }))
  assert.is(choice?.rank, 1)
})

test.run()
