import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { computeGrantorWait } from '../computeGrantorWait.js'
import { defaultLimitsOptions } from '../defaultLimitsOptions.js'
import { RegionWorld } from '../__fixtures__/regionWorld.js'
import type { WorldOptions } from '../__fixtures__/worldOptions.js'
import type { WorldStep } from '../__fixtures__/worldStep.js'
import { worldStep } from '../__fixtures__/worldStepArbitrary.js'

// Failure that these tests guard against: a region or a link at its limit carries more than its operator allowed.
// This happens when a host with capacity on loan is paused, cut off or killed, the lender of the region changes,
// and the same capacity is lent a second time while the first borrower's requests still run.

const SEED = 20_261_202
const LIMIT = 17
const NEWS_MS = 1_000

const options: WorldOptions = {
  hosts: 2,
  targets: 0,
  slots: LIMIT,
  maxDeadlineMs: 1_000,
  limits: { ...defaultLimitsOptions, loanTermMs: 1_500, slackMs: 50 },
  clockSpread: 0.0049,
  faultChance: 0.1
}

const run = fc.tuple(fc.integer(), fc.integer({ min: 1, max: 3 }), fc.array(worldStep, { minLength: 5, maxLength: 20 }))

function runWorld (seed: number, steps: readonly WorldStep[], given: WorldOptions): RegionWorld {
  const world = new RegionWorld(seed, given)
  world.run(6_000)
  steps.forEach((each) => world.apply(each))
  return world
}

test('a region never runs more than its limit', () => {
  fc.assert(fc.property(run, ([seed, hosts, steps]) => {
    assert.ok(runWorld(seed, steps, { ...options, hosts }).highest <= LIMIT)
  }), { seed: SEED, numRuns: 300 })
})

test('within three times a term and a longest deadline after the faults end the whole limit is usable', () => {
  const recoveryMs = 3 * computeGrantorWait(options.limits.loanTermMs + options.maxDeadlineMs, options.limits) + NEWS_MS
  fc.assert(fc.property(run, ([seed, hosts, steps]) => {
    const world = runWorld(seed, steps, { ...options, hosts })
    world.stopFaults()
    const end = world.real + recoveryMs
    while (!world.isWholeUsable() && world.real < end) world.run(100)
    assert.ok(world.isWholeUsable())
  }), { seed: SEED, numRuns: 150 })
})

test('work begun after every host has adopted a lowered limit never exceeds that limit', () => {
  fc.assert(fc.property(run, fc.integer({ min: 0, max: LIMIT - 1 }), ([seed, hosts, steps], lowered) => {
    const world = runWorld(seed, steps, { ...options, hosts })
    world.setLimit(lowered)
    world.adoptEverywhere()
    steps.filter((step) => step.kind !== 'join' && step.kind !== 'kill').forEach((each) => world.apply(each))
    assert.ok(world.highest <= lowered)
  }), { seed: SEED, numRuns: 100 })
})

for (const [name, broken] of Object.entries({
  'the wait for the longest deadline': { ...options, limits: { ...options.limits, slackMs: -options.maxDeadlineMs } },
  'the claim to all live members': { ...options, guardOff: 'claims' }
} satisfies Record<string, WorldOptions>)) {
  test(`finds the failure when a guard is disabled: ${name}`, () => {
    const found = fc.check(fc.property(run, ([seed, hosts, steps]) => {
      return runWorld(seed, steps, { ...broken, hosts }).highest <= LIMIT
    }), { seed: SEED, numRuns: 300, endOnFailure: true })
    assert.ok(found.failed)
  })
}

test('finds the failure when a guard is disabled: the term counted from the sending', () => {
  // A borrower is paused between its request and the answer. Counted from the answer, the loan's term would begin when the borrower resumes.
  const pauses = fc.array(fc.record({ host: fc.nat(9), faultMs: fc.integer({ min: 3_000, max: 6_000 }), ms: fc.integer({ min: 6_000, max: 8_000 }) }), { minLength: 10, maxLength: 20 })
  const found = fc.check(fc.property(fc.integer(), pauses, (seed, steps) => {
    const paused = steps.map((step) => ({ ...step, kind: 'pause' as const, other: 0 }))
    return runWorld(seed, paused, { ...options, hosts: 1, guardOff: 'termFromSending', faultChance: 0 }).highest <= LIMIT
  }), { seed: SEED, numRuns: 300, endOnFailure: true })
  assert.ok(found.failed)
})

test.run()
