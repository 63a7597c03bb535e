import type { AnswerHeader } from '../../request/answerHeader.js'
import type { RefusalReason } from '../../request/refusalReason.js'

/** What came of one attempt to run a request on a target. */
export type AttemptResult =
  | { kind: 'answered', status: number, headers: AnswerHeader[], body: Uint8Array, target: string }
  /** It didn't run there and never will. */
  | { kind: 'not-run', reason: RefusalReason, message: string, retryAfterMs?: number, target?: string }
  /** It may have run. */
  | { kind: 'unknown', reason: RefusalReason, message: string, target?: string }
