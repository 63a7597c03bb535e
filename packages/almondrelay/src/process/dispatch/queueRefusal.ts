import type { RefusalReason } from '../../request/refusalReason.js'

/** Refusal of a request that gets no slot. */
export interface QueueRefusal {
  kind: 'refused'
  reason: RefusalReason
  retryAfterMs: number
}
