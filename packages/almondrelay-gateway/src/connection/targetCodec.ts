import type { CallerRequest } from '../request/callerRequest.js'
import type { TargetAnswerHead } from '../request/targetAnswerHead.js'

/** Encodes requests to targets and decodes their answers. */
export abstract class TargetCodec {
  /**
   * Encodes the head of a request, including the empty line that ends it.
   *
   * @param targetId identifies the target that may run the request; any other target must refuse it
   * @param leftMs milliseconds that the target may spend on the request
   */
  abstract encodeHead (request: CallerRequest, targetId: string, leftMs: number): string

  abstract decodeAnswerHead (status: number, rawHeaders: readonly string[], shouldKeepAlive: boolean): TargetAnswerHead
}
