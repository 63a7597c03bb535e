import type { Random } from '../request/random.js'
import type { Clock } from '../process/platform/clock.js'

/** Who calls, and where it asks first. */
export interface CallerOptions {
  caller: string
  /** Caller addresses of entry hosts to send the first look-ups to. */
  hosts: string[]
  clock: Clock
  random: Random
}
