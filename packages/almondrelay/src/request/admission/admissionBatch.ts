import type { AdmissionRefusal } from './admissionRefusal.js'
import type { QueuedRequest } from './queuedRequest.js'

/** What `AdmissionQueue.take` hands out. */
export interface AdmissionBatch {
  /** To run now, in this order; they count as running until `finish`. */
  start: QueuedRequest[]
  /** To refuse now. */
  refuse: AdmissionRefusal[]
}
