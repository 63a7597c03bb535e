import type { RefusalReason } from '../refusalReason.js'
import type { QueuedRequest } from './queuedRequest.js'

/** A waiting request that is now refused; it was not run. */
export interface AdmissionRefusal {
  request: QueuedRequest
  reason: RefusalReason
  /** Delay after which the caller should retry, in milliseconds. */
  retryAfterMs: number
}
