import type { RefusalReason } from '../../request/refusalReason.js'

/** Whether every limit on a route has room for one more request, and which one hasn't. */
export type LimitDecision =
  | { allowed: true }
  | { allowed: false, reason: RefusalReason, limit: string }
