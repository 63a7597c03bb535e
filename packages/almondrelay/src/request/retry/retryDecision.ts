import type { RetryReason } from './retryReason.js'

/** Whether to retry, or the reason why not. */
export type RetryDecision =
  | { kind: 'retry', afterMs: number }
  | { kind: 'stop', reason: RetryReason }
