import type { LimitsOptions } from '../limitsOptions.js'

/** Figures of a model run, smaller than the daemon's so that more happens in a run. */
export interface WorldOptions {
  hosts: number
  targets: number
  slots: number
  maxDeadlineMs: number
  limits: LimitsOptions
  /** Greatest departure of a clock's rate from real time. */
  clockSpread: number
  /** Chance that a message is lost, repeated or very late. */
  faultChance: number
  /** Guard that is off, to show that the model finds the fault. */
  guardOff?: 'termFromSending' | 'claims'
}
