import type { RefusalReason } from '../refusalReason.js'
import type { QueuedRequest } from './queuedRequest.js'

/** A request that had to wait and is now refused; it was not run. */
export interface AdmissionRefusal {
  request: QueuedRequest
  reason: RefusalReason
  /** Milliseconds after which asking again is worthwhile. */
  retryAfterMs: number
}
