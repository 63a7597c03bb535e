import type { AttemptResult } from '../../request/attemptResult.js'
import type { Attempt } from './attempt.js'

/** Event in the processing of a request. */
export type RequestEvent =
  | { kind: 'ended', attempt: Attempt, result: AttemptResult }
  /** A target takes longer than expected; the request may be hedged. */
  | { kind: 'overdue' }
  /** The latest moment has come at which a copy at a second target could be on time. */
  | { kind: 'copy-due' }
  /** Links to targets count as lost, or a host that carries attempts as silent; the request may wait for an answer by that way. */
  | { kind: 'links-lost' }
  | { kind: 'deadline' }
  | { kind: 'caller-left' }
