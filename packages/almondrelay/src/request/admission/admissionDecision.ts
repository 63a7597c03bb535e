import type { RefusalReason } from '../refusalReason.js'
import type { AdmissionRefusal } from './admissionRefusal.js'

/** Decision on a request that has just arrived. */
export type AdmissionDecision =
  /** Run it now; it counts as running until `finish` is called. */
  | { kind: 'start' }
  /** It waits. The `displaced` requests were removed from the queue to make room for it and are to be refused now. */
  | { kind: 'wait', displaced: AdmissionRefusal[] }
  | { kind: 'refuse', reason: RefusalReason, retryAfterMs: number }
