import type { ResourceProblem } from './resourceProblem.js'

/** What became of a write; only `accepted` changed anything. */
export type WriteOutcome =
  | { outcome: 'accepted', writeId: string, revision: number }
  /** It lost to the change of this revision, and never takes effect. */
  | { outcome: 'conflict', writeId: string, revision: number }
  /** It doesn't fit the configuration, and never takes effect. */
  | { outcome: 'rejected', writeId: string, problems: ResourceProblem[] }
  /** Other resources still refer to what it takes away; it never takes effect. */
  | { outcome: 'in-use', writeId: string, problems: ResourceProblem[] }
  /** There is nothing to delete. */
  | { outcome: 'missing', writeId: string }
  /** It may yet take effect; ask for it by its id, or repeat it with the same id. */
  | { outcome: 'unknown', writeId: string }
