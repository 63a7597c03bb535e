/** Size of a model of uneven targets, and what its targets state. */
export interface UnevenTargetsOptions {
  hosts: number
  targets: number
  objects: number
  memory: number
  perSecond: number
  seconds: number
  seed: number
  /** Whether targets state their speed. */
  statesSpeed: boolean
  /** Whether hosts exchange statements; each uses only its own where they don't. */
  exchanges: boolean
  /** Speed that a target states, in percent, from its real one. */
  stateSpeed?: (percent: number, target: number, now: number) => number
}
