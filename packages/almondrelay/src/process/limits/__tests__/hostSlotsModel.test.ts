import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { defaultLimitsOptions } from '../defaultLimitsOptions.js'
import { computeGrantorWait } from '../computeGrantorWait.js'
import { SlotSimulation } from '../__fixtures__/slotSimulation.js'
import type { SimulationOptions } from '../__fixtures__/simulationOptions.js'
import { simulationStepArbitrary } from '../__fixtures__/simulationStepArbitrary.js'
import type { SimulationStep } from '../__fixtures__/simulationStep.js'

// Failure that these tests guard against: a target gets more concurrent requests than it has slots, and answers
// slowly or sheds load, because two hosts use the same slots. This happens when a host is paused, cut off or killed
// and another host takes over its slots: the first host resumes, or its requests run on, while the second host
// already sends to the target.

const SEED = 20_261_202
const SLOTS = 5
/** Time until all hosts have received rosters and evidence. */
const PROPAGATION_MS = 1_000

const options: SimulationOptions = {
  hosts: 3,
  targets: 3,
  slots: SLOTS,
  maxDeadlineMs: 2_000,
  limits: { ...defaultLimitsOptions, leaseTermMs: 600, creditTermMs: 200, slackMs: 50 },
  clockSpread: 0.0049,
  faultChance: 0.1
}

const run = fc.tuple(fc.integer(), fc.integer({ min: 1, max: 4 }), fc.array(simulationStepArbitrary, { minLength: 5, maxLength: 25 }))

function runSimulation (seed: number, steps: readonly SimulationStep[], given: SimulationOptions): SlotSimulation {
  const simulation = new SlotSimulation(seed, given)
  simulation.run(1_000)
  steps.forEach((each) => simulation.apply(each))
  return simulation
}

test('the limit of a target is never exceeded', () => {
  fc.assert(fc.property(run, ([seed, hosts, steps]) => {
    assert.ok(runSimulation(seed, steps, { ...options, hosts }).maxConcurrent <= SLOTS)
  }), { seed: SEED, numRuns: 1_000 })
})

test('within twice a term and a longest deadline after the faults end the whole limit is usable', () => {
  const { limits, maxDeadlineMs } = options
  const recoveryMs = 2 * computeGrantorWait(limits.leaseTermMs + maxDeadlineMs, limits) + PROPAGATION_MS
  fc.assert(fc.property(run, ([seed, hosts, steps]) => {
    const simulation = runSimulation(seed, steps, { ...options, hosts })
    simulation.stopFaults()
    const end = simulation.real + recoveryMs
    while (!simulation.isFullyUsable() && simulation.real < end) simulation.run(100)
    assert.ok(simulation.isFullyUsable())
    assert.ok(simulation.maxConcurrent <= SLOTS)
  }), { seed: SEED, numRuns: 300 })
})

test('an owner has its floor at every step, through pauses, cuts, lost messages and platform outages', () => {
  const calm = fc.array(simulationStepArbitrary.map((each) => each.kind === 'kill' || each.kind === 'join' ? { ...each, kind: 'cut' as const } : each), { minLength: 5, maxLength: 25 })
  fc.assert(fc.property(fc.integer(), fc.integer({ min: 2, max: 4 }), calm, (seed, hosts, steps) => {
    const simulation = new SlotSimulation(seed, { ...options, hosts })
    simulation.run(8_000)
    const owners = [...simulation.work.keys()].map((target) => ({ target, owner: simulation.findOwner(target) }))
    for (const each of steps) {
      simulation.apply(each)
      for (const { target, owner } of owners) assert.ok(owner.countUsable(target, simulation.real) >= Math.ceil(SLOTS / 2))
    }
  }), { seed: SEED, numRuns: 200 })
})

for (const [name, broken] of Object.entries({
  'the wait for the longest deadline': { ...options, limits: { ...options.limits, slackMs: -options.maxDeadlineMs } },
  'the term counted from the sending': { ...options, guardOff: 'termFromSending' },
  'the claim to all live members': { ...options, guardOff: 'claims' }
} satisfies Record<string, SimulationOptions>)) {
  test(`finds the failure when a guard is disabled: ${name}`, () => {
    const found = fc.check(fc.property(run, ([seed, hosts, steps]) => {
      return runSimulation(seed, steps, { ...broken, hosts }).maxConcurrent <= SLOTS
    }), { seed: SEED, numRuns: 300, endOnFailure: true })
    assert.ok(found.failed)
  })
}

test.run()
