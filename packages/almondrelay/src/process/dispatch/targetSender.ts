import type { TargetRequest } from '../../request/targetRequest.js'
import type { TargetResult } from '../../request/targetResult.js'

/** Sends one request to a target and brings its whole answer. */
export abstract class TargetSender {
  abstract send (address: string, request: TargetRequest, signal: AbortSignal): Promise<TargetResult>
}
