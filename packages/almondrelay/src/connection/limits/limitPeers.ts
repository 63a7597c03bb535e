import type { LeaseGrant } from '../../process/limits/leaseGrant.js'
import type { LeaseRequest } from '../../process/limits/leaseRequest.js'
import type { PartClaim } from '../../process/limits/partClaim.js'
import type { PartClaimAnswer } from '../../process/limits/partClaimAnswer.js'

/** Calls to peers about limits, addressed by host name. A call returns undefined if there was no answer, whatever the cause. */
export abstract class LimitPeers {
  abstract tryRenewSlotLease (request: LeaseRequest, signal: AbortSignal): Promise<LeaseGrant | undefined>
  abstract tryClaimParts (host: string, claim: PartClaim, signal: AbortSignal): Promise<PartClaimAnswer | undefined>
}
