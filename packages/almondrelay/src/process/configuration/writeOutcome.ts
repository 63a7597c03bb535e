import type { ResourceProblem } from './resourceProblem.js'

/** Outcome of a write; only `accepted` changed the configuration. */
export type WriteOutcome =
  | { outcome: 'accepted', writeId: string, revision: number }
  /** The write conflicts with the change of this revision, and never takes effect. */
  | { outcome: 'conflict', writeId: string, revision: number }
  /** The write is invalid in the configuration, and never takes effect. */
  | { outcome: 'rejected', writeId: string, problems: ResourceProblem[] }
  /** Other resources still refer to what the write would remove; it never takes effect. */
  | { outcome: 'in-use', writeId: string, problems: ResourceProblem[] }
  /** There is nothing to delete. */
  | { outcome: 'missing', writeId: string }
  /** The write may still take effect; query it by its id, or repeat it with the same id. */
  | { outcome: 'unknown', writeId: string }
