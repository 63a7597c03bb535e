import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { computeGrantorWait } from '../computeGrantorWait.js'
import { defaultLimitsOptions } from '../defaultLimitsOptions.js'
import { RegionSimulation } from '../__fixtures__/regionSimulation.js'
import type { SimulationOptions } from '../__fixtures__/simulationOptions.js'
import type { SimulationStep } from '../__fixtures__/simulationStep.js'
import { simulationStepArbitrary } from '../__fixtures__/simulationStepArbitrary.js'

// Failure that these tests guard against: a region or a link at its limit carries more than its operator allowed.
// This happens when a host with capacity on loan is paused, cut off or killed, the lender of the region changes,
// and the same capacity is lent a second time while the first borrower's requests still run.

const SEED = 20_261_202
const LIMIT = 17
const PROPAGATION_MS = 1_000

const options: SimulationOptions = {
  hosts: 2,
  targets: 0,
  slots: LIMIT,
  maxDeadlineMs: 1_000,
  limits: { ...defaultLimitsOptions, loanTermMs: 1_500, slackMs: 50 },
  clockSpread: 0.0049,
  faultChance: 0.1
}

const run = fc.tuple(fc.integer(), fc.integer({ min: 1, max: 3 }), fc.array(simulationStepArbitrary, { minLength: 5, maxLength: 20 }))

function runSimulation (seed: number, steps: readonly SimulationStep[], given: SimulationOptions): RegionSimulation {
  const simulation = new RegionSimulation(seed, given)
  simulation.run(6_000)
  steps.forEach((each) => simulation.apply(each))
  return simulation
}

test('a region never runs more than its limit', () => {
  fc.assert(fc.property(run, ([seed, hosts, steps]) => {
    assert.ok(runSimulation(seed, steps, { ...options, hosts }).maxConcurrent <= LIMIT)
  }), { seed: SEED, numRuns: 300 })
})

test('within three times a term and a longest deadline after the faults end the whole limit is usable', () => {
  const recoveryMs = 3 * computeGrantorWait(options.limits.loanTermMs + options.maxDeadlineMs, options.limits) + PROPAGATION_MS
  fc.assert(fc.property(run, ([seed, hosts, steps]) => {
    const simulation = runSimulation(seed, steps, { ...options, hosts })
    simulation.stopFaults()
    const end = simulation.real + recoveryMs
    while (!simulation.isFullyUsable() && simulation.real < end) simulation.run(100)
    assert.ok(simulation.isFullyUsable())
  }), { seed: SEED, numRuns: 150 })
})

test('work begun after every host has adopted a lowered limit never exceeds that limit', () => {
  fc.assert(fc.property(run, fc.integer({ min: 0, max: LIMIT - 1 }), ([seed, hosts, steps], lowered) => {
    const simulation = runSimulation(seed, steps, { ...options, hosts })
    simulation.setLimit(lowered)
    simulation.adoptEverywhere()
    steps.filter((step) => step.kind !== 'join' && step.kind !== 'kill').forEach((each) => simulation.apply(each))
    assert.ok(simulation.maxConcurrent <= lowered)
  }), { seed: SEED, numRuns: 100 })
})

for (const [name, broken] of Object.entries({
  'the wait for the longest deadline': { ...options, limits: { ...options.limits, slackMs: -options.maxDeadlineMs } },
  'the claim to all live members': { ...options, guardOff: 'claims' }
} satisfies Record<string, SimulationOptions>)) {
  test(`finds the failure when a guard is disabled: ${name}`, () => {
    const found = fc.check(fc.property(run, ([seed, hosts, steps]) => {
      return runSimulation(seed, steps, { ...broken, hosts }).maxConcurrent <= LIMIT
    }), { seed: SEED, numRuns: 300, endOnFailure: true })
    assert.ok(found.failed)
  })
}

test('finds the failure when a guard is disabled: the term counted from the sending', () => {
  // A borrower is paused between its request and the answer. Counted from the answer, the loan's term would begin when the borrower resumes.
  const pauses = fc.array(fc.record({ host: fc.nat(9), faultMs: fc.integer({ min: 3_000, max: 6_000 }), ms: fc.integer({ min: 6_000, max: 8_000 }) }), { minLength: 10, maxLength: 20 })
  const found = fc.check(fc.property(fc.integer(), pauses, (seed, steps) => {
    const paused = steps.map((step) => ({ ...step, kind: 'pause' as const, other: 0 }))
    return runSimulation(seed, paused, { ...options, hosts: 1, guardOff: 'termFromSending', faultChance: 0 }).maxConcurrent <= LIMIT
  }), { seed: SEED, numRuns: 300, endOnFailure: true })
  assert.ok(found.failed)
})

test.run()
