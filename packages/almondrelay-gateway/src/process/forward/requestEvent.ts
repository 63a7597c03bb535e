import type { AttemptResult } from '../../request/attemptResult.js'
import type { Attempt } from './attempt.js'

/** What happens to a request while it is carried out. */
export type RequestEvent =
  | { kind: 'ended', attempt: Attempt, result: AttemptResult }
  /** The first target takes longer than expected; another may be asked as well. */
  | { kind: 'overdue' }
  | { kind: 'deadline' }
  | { kind: 'caller-left' }
