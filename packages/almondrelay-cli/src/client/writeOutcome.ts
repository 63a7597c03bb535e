import type { WriteProblem } from './writeProblem.js'

/** What became of a write. */
export type WriteOutcome =
  | { outcome: 'accepted', revision: number, writeId: string }
  | { outcome: 'unchanged', revision: number }
  | { outcome: 'rejected', problems: WriteProblem[] }
  /** `revision` is the one that came first. */
  | { outcome: 'conflict', revision: number }
  /** There was nothing to delete. */
  | { outcome: 'missing' }
  | { outcome: 'unknown', writeId: string }
