import type { RetryReason } from './retryReason.js'

/** Whether to try again, and why not. */
export type RetryDecision =
  | { kind: 'retry', afterMs: number }
  | { kind: 'stop', reason: RetryReason }
