import type { RefusalReason } from 'almondrelay'
import type { TargetAnswerHead } from './targetAnswerHead.js'

/** What a caller is told. `cause` is for the account, `reason` for people. */
export type FinalAnswer =
  /** A target's answer, unchanged. */
  | { kind: 'passed', head: TargetAnswerHead, body: Buffer }
  /** It wasn't run and won't be; the caller may come back after the time, in milliseconds. */
  | { kind: 'refused', retryAfterMs: number, reason: string, cause: RefusalReason }
  /** It wasn't run and won't be: its caller is unknown. */
  | { kind: 'unidentified', reason: string, cause: RefusalReason }
  /** It may have run. `timedOut`: no answer came in time; else an answer was lost or spoilt. */
  | { kind: 'failed', timedOut: boolean, reason: string, cause: RefusalReason }
  /** The caller left before its answer; `wasSent`: it may have run. */
  | { kind: 'abandoned', reason: string, wasSent: boolean, cause: RefusalReason }
