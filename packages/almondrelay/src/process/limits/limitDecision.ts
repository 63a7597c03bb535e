import type { RefusalReason } from '../../request/refusalReason.js'

/** Whether every limit on a route admits one more request, and otherwise the limit that refuses it. */
export type LimitDecision =
  | { allowed: true }
  | { allowed: false, reason: RefusalReason, limit: string }
