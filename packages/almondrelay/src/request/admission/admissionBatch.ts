import type { AdmissionRefusal } from './admissionRefusal.js'
import type { QueuedRequest } from './queuedRequest.js'

/** Requests that leave the queue in one `AdmissionQueue.take` call. */
export interface AdmissionBatch {
  /** Requests to run now, in this order; they count as running until `finish` is called. */
  start: QueuedRequest[]
  /** Requests to refuse now. */
  refuse: AdmissionRefusal[]
}
