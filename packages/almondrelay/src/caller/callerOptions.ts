import type { Random } from '../request/random.js'
import type { Clock } from '../process/platform/clock.js'

/** Name of the caller, and the entry hosts for its first look-ups. */
export interface CallerOptions {
  caller: string
  /** Addresses at which entry hosts accept callers, for the first look-ups. */
  hosts: string[]
  clock: Clock
  random: Random
}
