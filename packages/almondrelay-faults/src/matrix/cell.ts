import type { Fault } from './fault.js'
import type { ProofKind } from './proofKind.js'
import type { Step } from './step.js'

/** One fault at one step. */
export interface Cell {
  step: Step
  faults: Fault[]
  /** What callers, targets and operators must see. */
  outcome: string
  kind: ProofKind
  /** Where it is proved, or why the fault can't touch the step. */
  where?: string
  /** Brings the fault about and checks the outcome. */
  prove?: () => Promise<void>
}
