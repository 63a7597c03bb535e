import type { QueuedRequest } from './queuedRequest.js'

/** A request in a lane, with the costs that were expected when it arrived. */
export interface WaitingRequest {
  request: QueuedRequest
  /** Expected cost in milliseconds of one slot. */
  costMs: number
  /** Cost that few requests of the route exceed, in milliseconds of one slot. */
  tailMs: number
  isLong: boolean
}
