import fc from 'fast-check'
import type { SimulationStep } from './simulationStep.js'

const kinds = ['none', 'none', 'pause', 'pause', 'cut', 'cut', 'kill', 'join', 'platformDown', 'platformUp', 'platformUp', 'mend'] as const

/** Generates any step of a simulation run. */
export const simulationStepArbitrary: fc.Arbitrary<SimulationStep> = fc.record({
  kind: fc.constantFrom(...kinds),
  host: fc.nat(9),
  other: fc.nat(9),
  faultMs: fc.integer({ min: 100, max: 6_000 }),
  ms: fc.integer({ min: 20, max: 2_500 })
})
