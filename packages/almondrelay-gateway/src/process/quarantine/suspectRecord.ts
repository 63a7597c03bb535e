import type { SuspectWord } from './suspectWord.js'

/** What the store keeps of a request under which targets ended. */
export interface SuspectRecord extends SuspectWord {
  /** Times that one host was allowed to send it on while it was quarantined. */
  trials: number
}
