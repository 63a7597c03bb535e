import type { ServiceImpl } from '@connectrpc/connect'
import type { PeerService } from 'almondrelay-protocol'
import type { Host } from '../../process/daemon/host.js'
import { toForwardResponse } from '../../process/dispatch/toForwardResponse.js'
import { handleBorrowing } from '../limits/handleBorrowing.js'
import { handlePartClaim } from '../limits/handlePartClaim.js'
import { handleSlotLeases } from '../limits/handleSlotLeases.js'
import { checkSender } from './checkSender.js'

/** Creates the handlers for peers' calls about requests and limits; the exchange folder handles heartbeats and changes. */
export function createPeerHandlers (host: Pick<Host, 'peerRequests' | 'slots' | 'capacity' | 'limits' | 'lender' | 'clock'>): Partial<ServiceImpl<typeof PeerService>> {
  const { peerRequests, slots, capacity, clock } = host
  return {
    requestCredits: (request) => {
      checkSender(request.sender)
      return peerRequests.grantCredits(request)
    },
    returnCredits: (request) => {
      capacity.returnCredits(request.creditIds, clock.getNow())
      return {}
    },
    renewSlotLease: (request) => {
      checkSender(request.sender)
      return handleSlotLeases(slots, request, clock.getNow())
    },
    claimParts: (request) => {
      checkSender(request.sender)
      return handlePartClaim(slots, request, clock.getNow())
    },
    borrowCapacity: (request) => {
      checkSender(request.sender)
      return handleBorrowing(host, request, clock.getNow())
    },
    forward: async (request) => {
      checkSender(request.sender)
      return toForwardResponse(await peerRequests.forward(request))
    },
    relay: async (request, context) => {
      checkSender(request.sender)
      return toForwardResponse(await peerRequests.relay(request, context.signal))
    },
    fence: async (request, context) => {
      checkSender(request.sender)
      const { state, answer } = await peerRequests.fence(request, context.signal)
      return answer === undefined ? { state } : { state, answer: toForwardResponse(answer) }
    }
  }
}
