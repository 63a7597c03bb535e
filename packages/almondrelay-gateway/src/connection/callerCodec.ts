import type { IncomingMessage } from 'node:http'
import type { FinalAnswer } from '../request/finalAnswer.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { CallerHead } from './callerHead.js'

/** How callers' requests and the answers to them are written. */
export abstract class CallerCodec {
  abstract decodeHead (message: IncomingMessage): CallerHead

  /** @param requestId undefined where the caller sent none */
  abstract encodeAnswer (answer: Exclude<FinalAnswer, { kind: 'abandoned' }>, requestId: string | undefined): CallerAnswer

  /** An answer of the host's own to a request that it can't take, such as 404 or 413. */
  abstract encodeRejection (status: number, reason: string, requestId: string | undefined): CallerAnswer
}
