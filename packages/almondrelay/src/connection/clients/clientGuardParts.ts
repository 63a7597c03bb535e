import type { ClientClosure } from './clientClosure.js'
import type { ClientLimits } from './clientLimits.js'

/** Dependencies of the guard of one port. */
export interface ClientGuardParts {
  /** Name of the port in log lines and metrics. */
  port: string
  limits: ClientLimits
  reportClosure: (closure: ClientClosure) => void
  /** Monotonic milliseconds. */
  getNow: () => number
}
