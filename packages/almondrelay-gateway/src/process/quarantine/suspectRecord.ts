import type { SuspectState } from './suspectState.js'

/** What the store keeps of a request under which targets ended. */
export interface SuspectRecord extends SuspectState {
  /** Times that one host was allowed to send it on while it was quarantined. */
  trials: number
}
