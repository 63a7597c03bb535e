import type { SuspectState } from './suspectState.js'

/** Record of a suspect in the store. */
export interface SuspectRecord extends SuspectState {
  /** Number of times that a host was granted a trial of the request while it was quarantined. */
  trials: number
}
