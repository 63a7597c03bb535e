import type { TargetAnswerHead } from './targetAnswerHead.js'

/** Outcome of one attempt to have a request answered by a target. */
export type AttemptResult =
  /** A complete answer was received. */
  | { kind: 'answered', head: TargetAnswerHead, body: Buffer }
  /** Nothing was written to the connection: the request can't have run. */
  | { kind: 'not-sent', reason: string }
  /** The request was written and no complete answer was received: it may have run. */
  | { kind: 'broken', reason: string }
