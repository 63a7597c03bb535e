import type { LimitsOptions } from '../limitsOptions.js'

/** Parameters of a simulation run; times are shorter than the daemon's so that more events fit into a run. */
export interface SimulationOptions {
  hosts: number
  targets: number
  slots: number
  maxDeadlineMs: number
  limits: LimitsOptions
  /** Greatest departure of a clock's rate from real time. */
  clockSpread: number
  /** Chance that a message is lost, repeated or very late. */
  faultChance: number
  /** Guard that is disabled, to show that the simulation finds the resulting failure. */
  guardOff?: 'termFromSending' | 'claims'
}
