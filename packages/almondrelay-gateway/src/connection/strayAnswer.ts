import type { StrayAnswerHandling } from './strayAnswerHandling.js'

/** An answer that a target sent and that is not known to be the first one to the request that waits on its connection. */
export interface StrayAnswer {
  handling: StrayAnswerHandling
  status: number
  /** Beginning of the id of the request that the answer names; undefined where it names none. */
  requestId: string | undefined
  /** Id of the request that waits for its answer; undefined where none does. */
  awaitedId: string | undefined
}
