import type { TargetAnswerHead } from './targetAnswerHead.js'

/** What became of one request at one target. */
export type AttemptResult =
  /** The answer is here, whole. */
  | { kind: 'answered', head: TargetAnswerHead, body: Buffer }
  /** Nothing was written: it can't have run. */
  | { kind: 'not-sent', reason: string }
  /** It was written and no whole answer came: it may have run. */
  | { kind: 'broken', reason: string }
