import type { RefusalReason } from '../refusalReason.js'
import type { AdmissionRefusal } from './admissionRefusal.js'

/** What becomes of a request that has just arrived. */
export type AdmissionDecision =
  /** Run it now; it counts as running until `finish`. */
  | { kind: 'start' }
  /** It waits. `displaced` gave up their place to it and are to be refused now. */
  | { kind: 'wait', displaced: AdmissionRefusal[] }
  | { kind: 'refuse', reason: RefusalReason, retryAfterMs: number }
