import type { LoadAnswer } from './loadAnswer.js'
import type { LoadOperation } from './loadOperation.js'

/** An operation with what its caller was told, and when. */
export interface LoadResult {
  operation: LoadOperation
  answer: Omit<LoadAnswer, 'body'>
  /** From the moment at which the plan wanted it sent. */
  latencyMs: number
  /** Whether the body is byte for byte what its target makes of this request. */
  isOwnAnswer: boolean
}
