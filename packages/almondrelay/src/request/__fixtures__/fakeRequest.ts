import type { QueuedRequest } from '../admission/queuedRequest.js'

/** A request with what only the bench knows of it. */
export interface FakeRequest extends QueuedRequest {
  /** Which of the run's sources sent it. */
  source: string
  /** Service time on a warm, healthy target, in milliseconds. */
  workMs: number
  /** 1 for the first time that it is sent. */
  attempt: number
}
