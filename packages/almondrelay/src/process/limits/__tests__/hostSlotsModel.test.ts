import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { defaultLimitsOptions } from '../defaultLimitsOptions.js'
import { computeGrantorWait } from '../computeGrantorWait.js'
import { SlotWorld } from '../__fixtures__/slotWorld.js'
import type { WorldOptions } from '../__fixtures__/worldOptions.js'
import { worldStep } from '../__fixtures__/worldStepArbitrary.js'
import type { WorldStep } from '../__fixtures__/worldStep.js'

// Failure that these tests guard against: a target gets more concurrent requests than it has slots, and answers
// slowly or sheds load, because two hosts use the same slots. This happens when a host is paused, cut off or killed
// and another host takes over its slots: the first host resumes, or its requests run on, while the second host
// already sends to the target.

const SEED = 20_261_202
const SLOTS = 5
/** Time until all hosts have received rosters and evidence. */
const NEWS_MS = 1_000

const options: WorldOptions = {
  hosts: 3,
  targets: 3,
  slots: SLOTS,
  maxDeadlineMs: 2_000,
  limits: { ...defaultLimitsOptions, leaseTermMs: 600, creditTermMs: 200, slackMs: 50 },
  clockSpread: 0.0049,
  faultChance: 0.1
}

const run = fc.tuple(fc.integer(), fc.integer({ min: 1, max: 4 }), fc.array(worldStep, { minLength: 5, maxLength: 25 }))

function runWorld (seed: number, steps: readonly WorldStep[], given: WorldOptions): SlotWorld {
  const world = new SlotWorld(seed, given)
  world.run(1_000)
  steps.forEach((each) => world.apply(each))
  return world
}

test('the limit of a target is never exceeded', () => {
  fc.assert(fc.property(run, ([seed, hosts, steps]) => {
    assert.ok(runWorld(seed, steps, { ...options, hosts }).highest <= SLOTS)
  }), { seed: SEED, numRuns: 1_000 })
})

test('within twice a term and a longest deadline after the faults end the whole limit is usable', () => {
  const { limits, maxDeadlineMs } = options
  const recoveryMs = 2 * computeGrantorWait(limits.leaseTermMs + maxDeadlineMs, limits) + NEWS_MS
  fc.assert(fc.property(run, ([seed, hosts, steps]) => {
    const world = runWorld(seed, steps, { ...options, hosts })
    world.stopFaults()
    const end = world.real + recoveryMs
    while (!world.isWholeUsable() && world.real < end) world.run(100)
    assert.ok(world.isWholeUsable())
    assert.ok(world.highest <= SLOTS)
  }), { seed: SEED, numRuns: 300 })
})

test('an owner has its floor at every step, through pauses, cuts, lost messages and platform outages', () => {
  const calm = fc.array(worldStep.map((each) => each.kind === 'kill' || each.kind === 'join' ? { ...each, kind: 'cut' as const } : each), { minLength: 5, maxLength: 25 })
  fc.assert(fc.property(fc.integer(), fc.integer({ min: 2, max: 4 }), calm, (seed, hosts, steps) => {
    const world = new SlotWorld(seed, { ...options, hosts })
    world.run(8_000)
    const owners = [...world.work.keys()].map((target) => ({ target, owner: world.findOwner(target) }))
    for (const each of steps) {
      world.apply(each)
      for (const { target, owner } of owners) assert.ok(owner.countUsable(target, world.real) >= Math.ceil(SLOTS / 2))
    }
  }), { seed: SEED, numRuns: 200 })
})

for (const [name, broken] of Object.entries({
  'the wait for the longest deadline': { ...options, limits: { ...options.limits, slackMs: -options.maxDeadlineMs } },
  'the term counted from the sending': { ...options, guardOff: 'termFromSending' },
  'the claim to all live members': { ...options, guardOff: 'claims' }
} satisfies Record<string, WorldOptions>)) {
  test(`finds the failure when a guard is disabled: ${name}`, () => {
    const found = fc.check(fc.property(run, ([seed, hosts, steps]) => {
      return runWorld(seed, steps, { ...broken, hosts }).highest <= SLOTS
    }), { seed: SEED, numRuns: 300, endOnFailure: true })
    assert.ok(found.failed)
  })
}

test.run()
