import type { TargetAnswerHead } from '../request/targetAnswerHead.js'
import type { TargetRequest } from '../request/targetRequest.js'

/** Encodes requests to targets and decodes their answers. */
export abstract class TargetCodec {
  /**
   * Returns the headers that a target gets whatever its id and the time left: names and values, alternating, with the name of the
   * caller's organisation and without its key.
   */
  abstract listForwardedHeaders (request: TargetRequest): string[]

  /**
   * Encodes the head of a request, including the empty line that ends it.
   *
   * @param targetId identifies the target that may run the request; any other target must refuse it
   * @param leftMs milliseconds that the target may spend on the request
   */
  abstract encodeHead (request: TargetRequest, targetId: string, leftMs: number): string

  abstract decodeAnswerHead (status: number, rawHeaders: readonly string[], shouldKeepAlive: boolean): TargetAnswerHead
}
