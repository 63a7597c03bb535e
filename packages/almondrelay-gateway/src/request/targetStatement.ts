import type { LoadStatement } from './loadStatement.js'

/** A statement of one incarnation of a target about its load. */
export interface TargetStatement extends LoadStatement {
  incarnationHash: number
  /** Monotonic milliseconds at which it was made. */
  statedAt: number
}
