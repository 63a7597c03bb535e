import type { AttemptResult } from '../../request/attemptResult.js'
import type { Attempt } from './attempt.js'

/** Event in the processing of a request. */
export type RequestEvent =
  | { kind: 'ended', attempt: Attempt, result: AttemptResult }
  /** A target takes longer than expected; the request may be hedged. */
  | { kind: 'overdue' }
  /** Links to targets count as lost, perhaps that to a target whose answer the request waits for. */
  | { kind: 'links-lost' }
  | { kind: 'deadline' }
  | { kind: 'caller-left' }
