import type { SuspectState } from './suspectState.js'

/** Report of suspects that a host sends to another one. */
export interface SuspectReport {
  host: string
  incarnation: string
  suspects: readonly SuspectState[]
  /** Whether the receiver passes the report on to the hosts of its availability zone. */
  passesOn: boolean
}
