import type { AnswerHeader } from '../../request/answerHeader.js'
import type { RefusalReason } from '../../request/refusalReason.js'

/** Result of one attempt to run a request on a target. */
export type AttemptResult =
  | { kind: 'answered', status: number, headers: AnswerHeader[], body: Uint8Array, target: string }
  /** The attempt didn't run and never will. */
  | { kind: 'not-run', reason: RefusalReason, message: string, retryAfterMs?: number, target?: string }
  /** The attempt may have run. */
  | { kind: 'unknown', reason: RefusalReason, message: string, target?: string }
