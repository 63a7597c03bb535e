import type { ReadFailure } from './readFailure.js'

/** A request on a caller's connection that could not be read. */
export interface ReadFailureReport {
  failure: ReadFailure
  /** Requests before it on its connection whose answers have not been sent. */
  waiting: number
  ip: string | undefined
}
