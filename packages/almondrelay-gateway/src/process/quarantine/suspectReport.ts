import type { SuspectState } from './suspectState.js'

/** What a host tells another one of requests under which targets ended. */
export interface SuspectReport {
  host: string
  incarnation: string
  suspects: readonly SuspectState[]
  /** The receiver passes it on to the hosts of its availability zone. */
  passesOn: boolean
}
