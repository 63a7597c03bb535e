import type { QueuedRequest } from './queuedRequest.js'

/** A request in a lane, with what was expected of it when it arrived. */
export interface WaitingRequest {
  request: QueuedRequest
  /** Expected cost in milliseconds of one slot. */
  costMs: number
  isLong: boolean
}
