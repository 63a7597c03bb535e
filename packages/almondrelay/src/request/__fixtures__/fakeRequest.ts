import type { QueuedRequest } from '../admission/queuedRequest.js'

/** A request with properties that only the simulation knows. */
export interface FakeRequest extends QueuedRequest {
  /** Name of the source that sent the request. */
  source: string
  /** Service time on a warm, healthy target, in milliseconds. */
  workMs: number
  /** Attempt number, from 1. */
  attempt: number
}
