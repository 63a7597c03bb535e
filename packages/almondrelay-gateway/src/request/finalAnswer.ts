import type { RefusalReason } from 'almondrelay'
import type { TargetAnswerHead } from './targetAnswerHead.js'

/** Answer to a caller's request. `cause` is the reason code for the account, `reason` a text for people. */
export type FinalAnswer =
  /** A target's answer, passed on unchanged. */
  | { kind: 'passed', head: TargetAnswerHead, body: Buffer }
  /** The request wasn't run and won't be; the caller may come back after `retryAfterMs` milliseconds. */
  | { kind: 'refused', retryAfterMs: number, reason: string, cause: RefusalReason }
  /** The request wasn't run and won't be: its caller is unknown. */
  | { kind: 'unidentified', reason: string, cause: RefusalReason }
  /** The request may have run. `timedOut`: no answer was received in time; otherwise an answer was lost or invalid. */
  | { kind: 'failed', timedOut: boolean, reason: string, cause: RefusalReason }
  /** The caller disconnected before its answer. `wasSent`: the request may have run. */
  | { kind: 'abandoned', reason: string, wasSent: boolean, cause: RefusalReason }
