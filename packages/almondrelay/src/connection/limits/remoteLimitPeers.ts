import type { ClaimPartsResponse } from 'almondrelay-protocol'
import type { HostDirectory } from '../../process/dispatch/hostDirectory.js'
import { isConnectionRefused } from '../../process/dispatch/isConnectionRefused.js'
import type { KnownHost } from '../../process/dispatch/knownHost.js'
import type { PeerLinks } from '../../process/dispatch/peerLinks.js'
import type { LeaseGrant } from '../../process/limits/leaseGrant.js'
import type { LeaseRequest } from '../../process/limits/leaseRequest.js'
import type { LoanAnswer } from '../../process/limits/loanAnswer.js'
import type { LoanRequest } from '../../process/limits/loanRequest.js'
import type { PartClaim } from '../../process/limits/partClaim.js'
import type { PartClaimAnswer } from '../../process/limits/partClaimAnswer.js'
import type { LenderKind } from './lenderKind.js'
import { LimitPeers } from './limitPeers.js'
import type { LoanPeers } from './loanPeers.js'
import { toPartClaimAnswer } from './toPartClaimAnswer.js'
import type { PeerSender } from '../../process/dispatch/peerSender.js'

interface RemoteLimitPeersParts {
  links: PeerLinks
  directory: HostDirectory
  sender: PeerSender
}

type PeerClient = ReturnType<PeerLinks['get']>

/** A third of a lease's term, so that an unanswered renewal can be retried before the lease expires. */
const CALL_TIMEOUT_MS = 1_000

/** Sends calls about limits over the connections to peers. */
export class RemoteLimitPeers extends LimitPeers implements LoanPeers {
  constructor (private readonly parts: RemoteLimitPeersParts) {
    super()
  }

  override async tryRenewSlotLease (request: LeaseRequest, signal: AbortSignal): Promise<LeaseGrant | undefined> {
    const { sender } = this.parts
    return await this.tryCall(request.standby, async (client) => await client.renewSlotLease({ sender, leases: request.leases }, { signal, timeoutMs: CALL_TIMEOUT_MS }))
  }

  override async tryClaimParts (host: string, claim: PartClaim, signal: AbortSignal): Promise<PartClaimAnswer | undefined> {
    const gone = claim.gone.map(({ name, incarnation }) => ({ name, incarnation: BigInt(incarnation) }))
    const request = { ...claim, gone, sender: this.parts.sender }
    const response = await this.tryCall<ClaimPartsResponse>(host, async (client) => await client.claimParts(request, { signal, timeoutMs: CALL_TIMEOUT_MS }))
    return response === undefined ? undefined : toPartClaimAnswer(response)
  }

  async tryBorrowCapacity (host: string, lender: LenderKind, request: LoanRequest, signal: AbortSignal): Promise<LoanAnswer | undefined> {
    const message = { ...request, sender: this.parts.sender, lender, sequence: BigInt(request.sequence) }
    const response = await this.tryCall(host, async (client) => await client.borrowCapacity(message, { signal, timeoutMs: CALL_TIMEOUT_MS }))
    return response?.isLender === true ? { termMs: response.termMs, loans: response.loans } : undefined
  }

  private async tryCall<Response> (host: string, call: (client: PeerClient) => Promise<Response>): Promise<Response | undefined> {
    const peer = this.parts.directory.find(host)
    if (peer === undefined || peer.peerAddress === '') return undefined
    try {
      return await call(this.parts.links.get(peer.peerAddress))
    } catch (error) {
      this.observeError(peer, error)
      return undefined
    }
  }

  private observeError (peer: KnownHost, error: unknown): void {
    if (isConnectionRefused(error)) this.parts.directory.observeRefused(peer.name, peer.incarnation)
  }
}
