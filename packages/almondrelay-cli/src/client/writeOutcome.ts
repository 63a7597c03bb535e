import type { WriteProblem } from './writeProblem.js'

/** Outcome of a write as shown to the operator. */
export type WriteOutcome =
  | { outcome: 'accepted', revision: number, writeId: string }
  | { outcome: 'unchanged', revision: number }
  | { outcome: 'rejected', problems: WriteProblem[] }
  /** `revision` is that of the other write, which came first. */
  | { outcome: 'conflict', revision: number }
  /** The resource to delete does not exist. */
  | { outcome: 'missing' }
  | { outcome: 'unknown', writeId: string }
