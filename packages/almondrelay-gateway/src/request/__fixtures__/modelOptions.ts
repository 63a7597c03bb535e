import type { ModelClass } from './modelClass.js'

/** Load of one run of the model. */
export interface ModelOptions {
  classes: readonly ModelClass[]
  way: 'none' | 'threshold' | 'shares'
  seed: number
  seconds: number
  /** Part of the callers that repeat at once after a refusal, three times, and leave then. */
  repeatingShare?: number
  /** Part of the callers that leave after half of the objective. */
  leavingShare?: number
  /** Factor by which a class's load is multiplied at a time. */
  findFactor?: (each: ModelClass, at: number) => number
  /** Whether the hosts receive snapshots at a time. */
  isLinked?: (at: number) => boolean
}
