import type { IncomingMessage } from 'node:http'
import type { FinalAnswer } from '../request/finalAnswer.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { CallerHead } from './callerHead.js'

/** Decodes callers' requests and encodes the answers to them. */
export abstract class CallerCodec {
  abstract decodeHead (message: IncomingMessage): CallerHead

  /** @param requestId undefined if the caller sent none */
  abstract encodeAnswer (answer: Exclude<FinalAnswer, { kind: 'abandoned' }>, requestId: string | undefined): CallerAnswer

  /** Encodes this host's own answer to a request that it can't handle, such as 404 or 413. */
  abstract encodeRejection (status: number, reason: string, requestId: string | undefined): CallerAnswer
}
