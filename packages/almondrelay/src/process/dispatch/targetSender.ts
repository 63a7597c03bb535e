import type { TargetRequest } from '../../request/targetRequest.js'
import type { TargetReply } from '../../request/targetReply.js'

/** Sends one request to a target and returns the complete answer. */
export abstract class TargetSender {
  abstract send (address: string, request: TargetRequest, signal: AbortSignal): Promise<TargetReply>
}
