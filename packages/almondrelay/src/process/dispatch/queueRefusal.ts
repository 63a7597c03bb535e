import type { RefusalReason } from '../../request/refusalReason.js'

/** Why a request gets no slot. */
export interface QueueRefusal {
  kind: 'refused'
  reason: RefusalReason
  retryAfterMs: number
}
