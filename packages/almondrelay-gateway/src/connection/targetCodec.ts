import type { CallerRequest } from '../request/callerRequest.js'
import type { TargetAnswerHead } from '../request/targetAnswerHead.js'

/** How requests and answers are written on a connection to a target. */
export abstract class TargetCodec {
  /**
   * The head of a request, with the empty line that ends it.
   *
   * @param targetId the start of the target that may run it; any other must refuse
   * @param leftMs milliseconds that the target may spend
   */
  abstract encodeHead (request: CallerRequest, targetId: string, leftMs: number): string

  abstract decodeAnswerHead (status: number, rawHeaders: readonly string[], shouldKeepAlive: boolean): TargetAnswerHead
}
