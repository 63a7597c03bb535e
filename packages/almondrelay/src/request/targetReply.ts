import type { AnswerHeader } from './answerHeader.js'

/** Result of sending a request to a target. */
export type TargetReply =
  | { kind: 'answered', status: number, headers: AnswerHeader[], body: Uint8Array }
  /** No byte of the request left this host. */
  | { kind: 'not-sent', message: string }
  /** The target stated that it did not run the request. */
  | { kind: 'shed', retryAfterMs: number | undefined }
  /** The request may run; its answer is lost. */
  | { kind: 'lost', message: string, broken: boolean }
  | { kind: 'too-large', bytes: number }
